/**
 * Control of partitions: ownership, VM sessions, start permits, the lifecycle of tasks and recovery
 * from the journal.
 */
package org.knapweedbank.control;
