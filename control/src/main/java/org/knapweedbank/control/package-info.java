/** Partition controller: sessions, permits, task life and recovery. */
package org.knapweedbank.control;
