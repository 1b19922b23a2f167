package org.knapweedbank.standin;

import java.time.Duration;
import org.knapweedbank.model.DataCentreId;
import org.knapweedbank.model.Resources;
import org.knapweedbank.model.VmId;

/**
 * Description of a simulated worker.
 *
 * @param vm VM that the worker runs on
 * @param dataCentre data centre of the VM
 * @param capacity resources that the worker can reserve for tasks
 * @param usageLag age of the usage samples that the worker reports
 */
public record WorkerDescription(
        VmId vm, DataCentreId dataCentre, Resources capacity, Duration usageLag) {}
