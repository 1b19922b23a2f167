/** Store leases of daemons, and the ownership of partitions recorded in the store. */
package org.knapweedbank.store.lease;
