package org.knapweedbank.scheduling;

import org.knapweedbank.model.DataCentreId;
import org.knapweedbank.model.Resources;
import org.knapweedbank.model.VmId;

/**
 * Worker VM that the scheduler can place tasks on.
 *
 * @param id identifier of the VM
 * @param dataCentre data centre of the VM
 * @param rack name of the rack within the data centre
 * @param capacity resources of the VM
 */
public record VmDescription(VmId id, DataCentreId dataCentre, String rack, Resources capacity) {}
