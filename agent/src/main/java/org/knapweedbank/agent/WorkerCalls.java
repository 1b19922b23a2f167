package org.knapweedbank.agent;

import io.smallrye.mutiny.Uni;
import java.util.function.Consumer;
import org.knapweedbank.worker.WorkerResult;

/** Calls the worker and delivers the results on the control thread. */
final class WorkerCalls {
    private final DutyExecutor mExecutor;

    WorkerCalls(DutyExecutor executor) {
        mExecutor = executor;
    }

    /**
     * Issues a call and passes its result to the handler on the control thread. A failure of the
     * client itself is passed as an unknown result.
     */
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
