package org.knapweedbank.agent;

import io.smallrye.mutiny.Uni;
import java.util.function.Consumer;
import org.knapweedbank.worker.WorkerResult;

/** Calls the worker and brings the results back to the duty thread. */
final class WorkerCalls {
    private final DutyExecutor mExecutor;

    WorkerCalls(DutyExecutor executor) {
        mExecutor = executor;
    }

    /** Subscribes to a call; a failure of the client itself counts as an unknown result. */
    <T> void call(Uni<WorkerResult<T>> call, Consumer<WorkerResult<T>> handler) {
        call.subscribe()
                .with(
                        result -> mExecutor.execute(() -> handler.accept(result)),
                        e ->
                                mExecutor.execute(
                                        () ->
                                                handler.accept(
                                                        new WorkerResult.Unknown<>(
                                                                String.valueOf(e.getMessage())))));
    }
}
