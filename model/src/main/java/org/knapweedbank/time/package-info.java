/** Clock abstraction, with a system clock and a manually advanced clock. */
package org.knapweedbank.time;
