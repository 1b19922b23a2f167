package org.knapweedbank.control;

import io.smallrye.mutiny.Uni;
import java.util.List;
import org.knapweedbank.worker.TaskStatus;
import org.knapweedbank.worker.WorkerResult;

/** Reads the list of attempts from the worker of a VM whose agent is unreachable. */
@FunctionalInterface
public interface WorkerTaskReader {
    /**
     * Reads the attempts that a worker knows.
     *
     * @param address HOST:PORT of the worker
     * @return the attempts, or the reason why the worker gave no answer
     */
    Uni<WorkerResult<List<TaskStatus>>> list(String address);
}
