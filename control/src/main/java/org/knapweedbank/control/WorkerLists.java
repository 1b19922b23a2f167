package org.knapweedbank.control;

import io.smallrye.mutiny.Uni;
import java.util.List;
import org.knapweedbank.worker.TaskStatus;
import org.knapweedbank.worker.WorkerResult;

/** Reads the attempts that the worker of a VM knows, when the VM's agent is gone. */
@FunctionalInterface
public interface WorkerLists {
    /**
     * Reads the list of a worker.
     *
     * @param address HOST:PORT of the worker
     * @return the attempts, or why there was no answer
     */
    Uni<WorkerResult<List<TaskStatus>>> list(String address);
}
