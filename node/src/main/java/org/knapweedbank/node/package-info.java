/** Types shared by entries and agents: timers, requests of callers and their answers. */
package org.knapweedbank.node;
