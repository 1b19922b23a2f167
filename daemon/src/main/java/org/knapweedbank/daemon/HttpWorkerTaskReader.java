package org.knapweedbank.daemon;

import io.smallrye.mutiny.Uni;
import io.vertx.core.Vertx;
import java.util.List;
import org.knapweedbank.control.WorkerTaskReader;
import org.knapweedbank.worker.HttpWorker;
import org.knapweedbank.worker.HttpWorkerSettings;
import org.knapweedbank.worker.TaskStatus;
import org.knapweedbank.worker.WorkerResult;

/** Reads the task lists of workers over HTTP. Calls are rare, so each one uses its own client. */
final class HttpWorkerTaskReader implements WorkerTaskReader {
    private final Vertx mVertx;

    /**
     * Creates a reader of task lists.
     *
     * @param vertx Vert.x instance whose event loops are used for connections
     */
    HttpWorkerTaskReader(Vertx vertx) {
        mVertx = vertx;
    }

    @Override
    public Uni<WorkerResult<List<TaskStatus>>> list(String address) {
        int colon = address.lastIndexOf(':');
        HttpWorkerSettings settings =
                HttpWorkerSettings.of(
                        address.substring(0, colon),
                        Integer.parseInt(address.substring(colon + 1)));
        HttpWorker worker = new HttpWorker(mVertx, settings);
        return worker.list().onTermination().invoke(worker::close);
    }
}
