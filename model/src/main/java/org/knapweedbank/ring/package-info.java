/** Bounded queues between threads, and event loop threads that run queued tasks. */
package org.knapweedbank.ring;
