/** Bounded rings between threads and the threads that drain them. */
package org.knapweedbank.ring;
