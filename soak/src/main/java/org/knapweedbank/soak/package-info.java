/**
 * Fault soak: plays entries and agents as separate processes against stand-ins of the platform's
 * store and workers, with faults from a seed, and checks what callers and workers see.
 */
package org.knapweedbank.soak;
