/** Leases of daemons and ownership of partitions. */
package org.knapweedbank.store.lease;
