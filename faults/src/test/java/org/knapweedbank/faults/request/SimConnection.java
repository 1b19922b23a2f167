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

/** A data connection from an entry to an agent. Answers are matched to attempts by call id. */
final class SimConnection {
    /** Shortest time that a message takes in one direction. */
    private static final Duration ONE_WAY_DELAY = Duration.ofMillis(4);

    private final RequestCellRun mCellRun;
    private final Simulation mSimulation;
    private final SimRequestEntry mEntry;
    private final SimRequestAgent mAgent;
    private final RequestTestDriver.Peer mPeer;

    /** Open attempts by call id. */
    private final Map<Long, SimExchange.OpenAttempt> mOpenAttempts = new LinkedHashMap<>();

    /**
     * Numbers of chunks and of body bytes received, by call id; used by {@link
     * RequestMutant#COUNTS_IGNORED}.
     */
    private final Map<Long, long[]> mReceivedCounts = new LinkedHashMap<>();

    /**
     * Time of the latest scheduled delivery to the agent (index 0) and to the entry (index 1),
     * which keeps messages in order.
     */
    private final long[] mLastDeliveryNanos = new long[2];

    private boolean mClosed;
    private long mNextId;

    /** Number of requests that {@link RequestMutant#DUPLICATES_NOT_SUPPRESSED} has altered. */
    private long mCopyCount;

    SimConnection(RequestCellRun cellRun, SimRequestEntry entry, SimRequestAgent agent) {
        mCellRun = cellRun;
        mSimulation = cellRun.simulation();
        mEntry = entry;
        mAgent = agent;
        mPeer = new RequestTestDriver.Peer(this::sendToEntry);
    }

    /** Returns whether the connection has been closed. */
    boolean isClosed() {
        return mClosed;
    }

    /** Closes the connection; both sides learn of it after the one-way delay. */
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

    /** Reports the loss of the connection to the exchanges of all open attempts. */
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

    /**
     * Registers an attempt, sends its message and returns the call id.
     *
     * @param attempt number of the attempt within its exchange
     * @param message creates the message for a call id
     */
    long openAttempt(SimExchange exchange, int attempt, LongFunction<Message> message) {
        long id = ++mNextId;
        mOpenAttempts.put(id, new SimExchange.OpenAttempt(exchange, attempt, this, id));
        sendToAgent(message.apply(id));
        return id;
    }

    /** Stops passing answers with a call id to an exchange. */
    void removeAttempt(long id) {
        mOpenAttempts.remove(id);
    }

    /** Sends a message of the entry to the agent. */
    void sendToAgent(Message message) {
        mSimulation.trace(mEntry.name(), "sends to " + mAgent.name() + " " + describe(message));
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

    /** Delivers a message to the agent, altered if the mutant requires it. */
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

    /** Returns a copy of a request with an attempt id of its own and no idempotency key. */
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

    /** Formats a message for the trace. */
    private static String describe(Message message) {
        return message instanceof Request request
                ? "Request " + request.id() + " " + request.attemptId() + " " + request.path()
                : message.toString();
    }

    /** Sends a message of the agent to the entry, altered if the mutant requires it. */
    private void sendToEntry(Message message) {
        if (mClosed) {
            return;
        }
        mSimulation.trace(mAgent.name(), "sends to " + mEntry.name() + " " + message);
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

    /** Returns the message that is sent instead of a message of the agent. */
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

    /**
     * Schedules the delivery of a message, subject to the injected network and message faults.
     *
     * @param direction 0 to the agent, 1 to the entry
     */
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

    /** Passes a message of the agent to the exchange that it belongs to. */
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
            default -> throw new IllegalStateException("unexpected message " + message);
        }
    }

    /** Passes on the end of an answer, with the counts that the mutant requires. */
    private void dispatchEnd(ResponseEnd end) {
        long[] counts = mReceivedCounts.computeIfAbsent(end.id(), key -> new long[2]);
        boolean ignoresCounts = mCellRun.mutant() == RequestMutant.COUNTS_IGNORED;
        int chunks = ignoresCounts ? (int) counts[0] : end.chunks();
        long bytes = ignoresCounts ? counts[1] : end.bytes();
        dispatch(end.id(), false, attempt -> new PlanEvent.End(attempt, chunks, bytes));
    }

    /**
     * Passes an event to the exchange of a call.
     *
     * @param id call id; an id above 1000 belongs to a copy of the call with the last three digits
     * @param endsAttempt whether the attempt is closed
     * @param event creates the event for the number of the attempt
     */
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
