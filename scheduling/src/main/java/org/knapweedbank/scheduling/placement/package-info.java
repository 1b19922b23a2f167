/** Capacity ledger, capacity indexes and selection of VMs. */
package org.knapweedbank.scheduling.placement;
