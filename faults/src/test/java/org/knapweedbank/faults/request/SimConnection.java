package org.knapweedbank.faults.request;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.LongFunction;
import org.knapweedbank.agent.RequestTestDriver;
import org.knapweedbank.faults.Fault;
import org.knapweedbank.faults.Simulation;
import org.knapweedbank.routing.PlanEvent;
import org.knapweedbank.wire.Message;
import org.knapweedbank.wire.NotRun;
import org.knapweedbank.wire.OutcomeUnknown;
import org.knapweedbank.wire.Request;
import org.knapweedbank.wire.ResponseChunk;
import org.knapweedbank.wire.ResponseEnd;
import org.knapweedbank.wire.ResponseHead;
import org.knapweedbank.wire.StreamMoved;

/** A data connection from an entry to an agent; answers are matched by id. */
final class SimConnection {
    private static final Duration ONE_WAY_DELAY = Duration.ofMillis(4);

    private final RequestCellRun mCellRun;
    private final Simulation mSimulation;
    private final SimRequestEntry mEntry;
    private final SimRequestAgent mAgent;
    private final RequestTestDriver.Peer mPeer;
    private final Map<Long, SimExchange.OpenAttempt> mOpenAttempts = new LinkedHashMap<>();
    private final Map<Long, long[]> mReceivedCounts = new LinkedHashMap<>();
    private final long[] mLastDeliveryNanos = new long[2];
    private boolean mClosed;
    private long mNextId;
    private long mCopyCount;

    SimConnection(RequestCellRun cellRun, SimRequestEntry entry, SimRequestAgent agent) {
        mCellRun = cellRun;
        mSimulation = cellRun.simulation();
        mEntry = entry;
        mAgent = agent;
        mPeer = new RequestTestDriver.Peer(this::sendToEntry);
    }

    boolean isClosed() {
        return mClosed;
    }

    /** The connection ends; both sides learn of it. */
    void close() {
        if (mClosed) {
            return;
        }
        mClosed = true;
        mSimulation.schedule(
                ONE_WAY_DELAY,
                () -> mAgent.process().execute(() -> mAgent.driver().handleDisconnect(mPeer)));
        mSimulation.schedule(
                ONE_WAY_DELAY, () -> mEntry.process().execute(this::reportConnectionLost));
    }

    private void reportConnectionLost() {
        Map<Long, SimExchange.OpenAttempt> lostAttempts = Map.copyOf(mOpenAttempts);
        mOpenAttempts.clear();
        lostAttempts
                .values()
                .forEach(
                        openAttempt ->
                                openAttempt
                                        .exchange()
                                        .apply(
                                                new PlanEvent.ConnectionLost(
                                                        openAttempt.attempt(),
                                                        "connection broke")));
    }

    long openAttempt(SimExchange exchange, int attempt, LongFunction<Message> message) {
        long id = ++mNextId;
        mOpenAttempts.put(id, new SimExchange.OpenAttempt(exchange, attempt, this, id));
        sendToAgent(message.apply(id));
        return id;
    }

    void removeAttempt(long id) {
        mOpenAttempts.remove(id);
    }

    void sendToAgent(Message message) {
        mSimulation.trace(mEntry.name(), "to " + mAgent.name() + " " + describe(message));
        transport(
                0,
                () ->
                        mAgent.process()
                                .execute(
                                        () -> {
                                            if (!mClosed) {
                                                deliverToAgent(message);
                                            }
                                        }));
    }

    private void deliverToAgent(Message message) {
        Message delivered = message;
        if (message instanceof Request request) {
            mCellRun.reachStep(RequestStep.ARRIVED, null);
            if (mCellRun.mutant() == RequestMutant.DUPLICATES_NOT_SUPPRESSED) {
                delivered = copyWithNewAttemptId(request, request.id() + 1_000 * ++mCopyCount);
            }
        }
        mAgent.driver().handleMessage(mPeer, delivered);
    }

    private Request copyWithNewAttemptId(Request request, long id) {
        return new Request(
                id,
                request.attemptId() + "-copy" + mCopyCount,
                "",
                request.idempotent(),
                request.service(),
                request.method(),
                request.path(),
                request.headers(),
                request.body(),
                request.deadlineMillis(),
                request.stream(),
                request.correlationId());
    }

    private static String describe(Message message) {
        return message instanceof Request request
                ? "Request " + request.id() + " " + request.attemptId() + " " + request.path()
                : message.toString();
    }

    private void sendToEntry(Message message) {
        if (mClosed) {
            return;
        }
        mSimulation.trace(mAgent.name(), "to " + mEntry.name() + " " + message);
        Message sent = applyMutant(message);
        switch (sent) {
            case ResponseHead head -> mCellRun.reachStep(RequestStep.ANSWER_HEAD, null);
            case ResponseChunk chunk -> mCellRun.reachStep(RequestStep.ANSWER_PART, null);
            case ResponseEnd end -> mCellRun.reachStep(RequestStep.ANSWER_END, null);
            case StreamMoved moved -> mCellRun.reachStep(RequestStep.STREAM_MOVED, null);
            default -> {}
        }
        transport(1, () -> mEntry.process().execute(() -> deliverToEntry(sent)));
    }

    private Message applyMutant(Message message) {
        return switch (mCellRun.mutant()) {
            case NOT_RUN_AFTER_SENDING ->
                    message instanceof OutcomeUnknown unknown
                            ? new NotRun(unknown.id(), unknown.reason(), unknown.load())
                            : message;
            case STREAMS_CUT_AT_STOP ->
                    message instanceof StreamMoved moved
                            ? new ResponseEnd(moved.id(), 9_999, 1, null)
                            : message;
            case null, default -> message;
        };
    }

    private void transport(int direction, Runnable delivery) {
        if (mClosed || mCellRun.isPathCut(mAgent.name(), direction == 0)) {
            return;
        }
        long deliveryNanos =
                mSimulation.nowNanos()
                        + ONE_WAY_DELAY.toNanos()
                        + mSimulation.random().nextInt(2_000_000);
        Fault fault = mCellRun.nextMessageFault(direction);
        switch (fault) {
            case MESSAGE_LOST -> {
                return;
            }
            case MESSAGES_REORDERED -> {
                long delayMillis = 10 + mSimulation.random().nextInt(2_000);
                mSimulation.schedule(Duration.ofMillis(delayMillis), delivery);
                return;
            }
            case MESSAGE_LATE ->
                    deliveryNanos += (1 + mSimulation.random().nextInt(6)) * 1_000_000_000L;
            case MESSAGE_DOUBLED ->
                    mSimulation.schedule(
                            Duration.ofMillis(1 + mSimulation.random().nextInt(3_000)), delivery);
            default -> {}
        }
        deliveryNanos = Math.max(deliveryNanos, mLastDeliveryNanos[direction] + 1);
        mLastDeliveryNanos[direction] = deliveryNanos;
        mSimulation.schedule(Duration.ofNanos(deliveryNanos - mSimulation.nowNanos()), delivery);
    }

    private void deliverToEntry(Message message) {
        if (mClosed) {
            return;
        }
        switch (message) {
            case ResponseHead head ->
                    dispatch(
                            head.id(),
                            false,
                            attempt -> new PlanEvent.Head(attempt, head.status(), head.stream()));
            case ResponseChunk chunk -> {
                long[] counts = mReceivedCounts.computeIfAbsent(chunk.id(), key -> new long[2]);
                counts[0] = Math.max(counts[0], chunk.index() + 1);
                counts[1] += chunk.bytes().length;
                dispatch(
                        chunk.id(),
                        false,
                        attempt -> new PlanEvent.Chunk(attempt, chunk.index(), chunk.bytes()));
            }
            case ResponseEnd end -> dispatchEnd(end);
            case NotRun notRun ->
                    dispatch(
                            notRun.id(),
                            true,
                            attempt -> new PlanEvent.NotRun(attempt, notRun.reason(), false));
            case OutcomeUnknown unknown ->
                    dispatch(
                            unknown.id(),
                            true,
                            attempt -> new PlanEvent.OutcomeUnknown(attempt, unknown.reason()));
            case StreamMoved moved -> {
                mEntry.pool().markLeaving(mAgent.name());
                dispatch(moved.id(), true, PlanEvent.StreamMoved::new);
            }
            default -> throw new IllegalStateException("unexpected " + message);
        }
    }

    private void dispatchEnd(ResponseEnd end) {
        long[] counts = mReceivedCounts.computeIfAbsent(end.id(), key -> new long[2]);
        boolean ignoresCounts = mCellRun.mutant() == RequestMutant.COUNTS_IGNORED;
        int chunks = ignoresCounts ? (int) counts[0] : end.chunks();
        long bytes = ignoresCounts ? counts[1] : end.bytes();
        dispatch(end.id(), false, attempt -> new PlanEvent.End(attempt, chunks, bytes));
    }

    private void dispatch(
            long id, boolean endsAttempt, java.util.function.IntFunction<PlanEvent> event) {
        long callId = id > 1_000 ? id % 1_000 : id;
        if (mCellRun.mutant() == RequestMutant.ANSWERS_MATCHED_BY_ORDER
                && !mOpenAttempts.isEmpty()) {
            callId = mOpenAttempts.keySet().iterator().next();
        }
        SimExchange.OpenAttempt openAttempt =
                endsAttempt ? mOpenAttempts.remove(callId) : mOpenAttempts.get(callId);
        if (openAttempt != null) {
            openAttempt.exchange().apply(event.apply(openAttempt.attempt()));
        }
    }
}
