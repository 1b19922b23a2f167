package org.knapweedbank.scheduling;

import org.knapweedbank.model.DataCentreId;
import org.knapweedbank.model.Resources;
import org.knapweedbank.model.VmId;

/**
 * A worker VM as the scheduler sees it.
 *
 * @param id the VM
 * @param dataCentre its data centre
 * @param rack its rack
 * @param capacity its capacity
 */
public record VmDescription(VmId id, DataCentreId dataCentre, String rack, Resources capacity) {}
