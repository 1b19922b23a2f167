package org.knapweedbank.faults.request;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.LongFunction;
import org.knapweedbank.agent.RequestSeam;
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
    private static final Duration DELAY = Duration.ofMillis(4);

    private final RequestWorld mWorld;
    private final Simulation mSimulation;
    private final SimRequestEntry mEntry;
    private final SimRequestAgent mAgent;
    private final RequestSeam.Peer mPeer;
    private final Map<Long, SimExchange.SimCall> mCalls = new LinkedHashMap<>();
    private final Map<Long, long[]> mCounts = new LinkedHashMap<>();
    private final long[] mLastDelivery = new long[2];
    private boolean mBroken;
    private long mNextId;
    private long mCopies;

    SimConnection(RequestWorld world, SimRequestEntry entry, SimRequestAgent agent) {
        mWorld = world;
        mSimulation = world.simulation();
        mEntry = entry;
        mAgent = agent;
        mPeer = new RequestSeam.Peer(this::toEntry);
    }

    boolean broken() {
        return mBroken;
    }

    /** The connection ends; both sides learn of it. */
    void breakOff() {
        if (mBroken) {
            return;
        }
        mBroken = true;
        mSimulation.after(
                DELAY, () -> mAgent.process().execute(() -> mAgent.duty().disconnected(mPeer)));
        mSimulation.after(DELAY, () -> mEntry.process().execute(this::lost));
    }

    private void lost() {
        Map<Long, SimExchange.SimCall> calls = Map.copyOf(mCalls);
        mCalls.clear();
        calls.values()
                .forEach(
                        call ->
                                call.exchange()
                                        .apply(
                                                new PlanEvent.ConnectionLost(
                                                        call.attempt(), "connection broke")));
    }

    long open(SimExchange exchange, int attempt, LongFunction<Message> message) {
        long id = ++mNextId;
        mCalls.put(id, new SimExchange.SimCall(exchange, attempt, this, id));
        toAgent(message.apply(id));
        return id;
    }

    void forget(long id) {
        mCalls.remove(id);
    }

    void toAgent(Message message) {
        mSimulation.trace(mEntry.name(), "to " + mAgent.name() + " " + name(message));
        transport(
                0,
                () ->
                        mAgent.process()
                                .execute(
                                        () -> {
                                            if (!mBroken) {
                                                arrived(message);
                                            }
                                        }));
    }

    private void arrived(Message message) {
        Message passed = message;
        if (message instanceof Request request) {
            mWorld.step(RequestStep.ARRIVED, null);
            if (mWorld.mutant() == RequestMutant.DUPLICATES_NOT_SUPPRESSED) {
                passed = copy(request, request.id() + 1_000 * ++mCopies);
            }
        }
        mAgent.duty().message(mPeer, passed);
    }

    private Request copy(Request request, long id) {
        return new Request(
                id,
                request.attemptId() + "-copy" + mCopies,
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

    private static String name(Message message) {
        return message instanceof Request request
                ? "Request " + request.id() + " " + request.attemptId() + " " + request.path()
                : message.toString();
    }

    private void toEntry(Message message) {
        if (mBroken) {
            return;
        }
        mSimulation.trace(mAgent.name(), "to " + mEntry.name() + " " + message);
        Message sent = altered(message);
        switch (sent) {
            case ResponseHead head -> mWorld.step(RequestStep.ANSWER_HEAD, null);
            case ResponseChunk chunk -> mWorld.step(RequestStep.ANSWER_PART, null);
            case ResponseEnd end -> mWorld.step(RequestStep.ANSWER_END, null);
            case StreamMoved moved -> mWorld.step(RequestStep.STREAM_MOVED, null);
            default -> {}
        }
        transport(1, () -> mEntry.process().execute(() -> received(sent)));
    }

    private Message altered(Message message) {
        return switch (mWorld.mutant()) {
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
        if (mBroken || mWorld.isCut(mAgent.name(), direction == 0)) {
            return;
        }
        long at = mSimulation.now() + DELAY.toNanos() + mSimulation.random().nextInt(2_000_000);
        Fault fault = mWorld.takeMessageFault(direction);
        switch (fault) {
            case MESSAGE_LOST -> {
                return;
            }
            case MESSAGES_REORDERED -> {
                long overtaken = 10 + mSimulation.random().nextInt(2_000);
                mSimulation.after(Duration.ofMillis(overtaken), delivery);
                return;
            }
            case MESSAGE_LATE -> at += (1 + mSimulation.random().nextInt(6)) * 1_000_000_000L;
            case MESSAGE_DOUBLED ->
                    mSimulation.after(
                            Duration.ofMillis(1 + mSimulation.random().nextInt(3_000)), delivery);
            default -> {}
        }
        at = Math.max(at, mLastDelivery[direction] + 1);
        mLastDelivery[direction] = at;
        mSimulation.after(Duration.ofNanos(at - mSimulation.now()), delivery);
    }

    private void received(Message message) {
        if (mBroken) {
            return;
        }
        switch (message) {
            case ResponseHead head ->
                    pass(
                            head.id(),
                            false,
                            attempt -> new PlanEvent.Head(attempt, head.status(), head.stream()));
            case ResponseChunk chunk -> {
                long[] counts = mCounts.computeIfAbsent(chunk.id(), key -> new long[2]);
                counts[0] = Math.max(counts[0], chunk.index() + 1);
                counts[1] += chunk.bytes().length;
                pass(
                        chunk.id(),
                        false,
                        attempt -> new PlanEvent.Chunk(attempt, chunk.index(), chunk.bytes()));
            }
            case ResponseEnd end -> ended(end);
            case NotRun notRun ->
                    pass(
                            notRun.id(),
                            true,
                            attempt -> new PlanEvent.NotRun(attempt, notRun.reason(), false));
            case OutcomeUnknown unknown ->
                    pass(
                            unknown.id(),
                            true,
                            attempt -> new PlanEvent.OutcomeUnknown(attempt, unknown.reason()));
            case StreamMoved moved -> {
                mEntry.pool().leaving(mAgent.name());
                pass(moved.id(), true, PlanEvent.StreamMoved::new);
            }
            default -> throw new IllegalStateException("unexpected " + message);
        }
    }

    private void ended(ResponseEnd end) {
        long[] counts = mCounts.computeIfAbsent(end.id(), key -> new long[2]);
        boolean ignored = mWorld.mutant() == RequestMutant.COUNTS_IGNORED;
        int chunks = ignored ? (int) counts[0] : end.chunks();
        long bytes = ignored ? counts[1] : end.bytes();
        pass(end.id(), false, attempt -> new PlanEvent.End(attempt, chunks, bytes));
    }

    private void pass(long id, boolean last, java.util.function.IntFunction<PlanEvent> event) {
        long key = id > 1_000 ? id % 1_000 : id;
        if (mWorld.mutant() == RequestMutant.ANSWERS_MATCHED_BY_ORDER && !mCalls.isEmpty()) {
            key = mCalls.keySet().iterator().next();
        }
        SimExchange.SimCall call = last ? mCalls.remove(key) : mCalls.get(key);
        if (call != null) {
            call.exchange().apply(event.apply(call.attempt()));
        }
    }
}
