/** Quarantine of VMs on which tasks fail. */
package org.knapweedbank.scheduling.quarantine;
