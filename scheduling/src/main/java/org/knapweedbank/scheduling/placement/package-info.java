/** Capacity ledger, indexes and choice of a VM. */
package org.knapweedbank.scheduling.placement;
