package org.knapweedbank.agent;

import com.codahale.metrics.MetricRegistry;
import java.time.Duration;
import java.util.Arrays;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.knapweedbank.routing.duplicate.AttemptKey;
import org.knapweedbank.routing.duplicate.DuplicateDecision;
import org.knapweedbank.routing.duplicate.DuplicateLimits;
import org.knapweedbank.routing.duplicate.DuplicateTable;
import org.knapweedbank.time.Clock;
import org.knapweedbank.wire.AnswerQuery;
import org.knapweedbank.wire.Cancel;
import org.knapweedbank.wire.HeaderField;
import org.knapweedbank.wire.LoadReport;
import org.knapweedbank.wire.Message;
import org.knapweedbank.wire.NotRun;
import org.knapweedbank.wire.OutcomeUnknown;
import org.knapweedbank.wire.Request;
import org.knapweedbank.wire.ResponseChunk;
import org.knapweedbank.wire.ResponseEnd;
import org.knapweedbank.wire.ResponseHead;
import org.knapweedbank.wire.StreamMoved;

/**
 * Serves the requests of the entries: suppresses duplicates, keeps to the slots, passes requests on
 * and sends the answers. "Not run" is sent only for attempts that are marked, so that no copy of
 * them runs later. Runs on the event loop.
 */
final class RequestDuty {
    /** Largest part of an answer in one message. */
    static final int CHUNK_BYTES = 32 * 1024;

    /** Longest deadline that is granted; longer work is a job for the batch scheduler. */
    static final Duration MAX_DEADLINE = Duration.ofMinutes(10);

    /** Copies that wait for one request. */
    private static final int MAX_WAITERS = 16;

    private static final LoadReport NO_LOAD = new LoadReport(0, 0, 0, 0, true);
    private static final Logger LOG = LogManager.getLogger(RequestDuty.class);

    private final Clock mClock;
    private final AnnouncementTable mUpstreams;
    private final UpstreamCaller mCaller;
    private final DuplicateTable<RecordedAnswer> mDuplicates;
    private final DuplicateLimits mLimits;
    private final RequestCounters mCounters;
    private final ServiceLatencies mLatencies;
    private final StallMeter mStall;
    private final Map<String, ActiveRequest> mActive = new HashMap<>();
    private boolean mConfigured;
    private boolean mStopping;

    RequestDuty(
            Clock clock,
            AnnouncementTable upstreams,
            UpstreamCaller caller,
            DuplicateLimits limits,
            MetricRegistry registry) {
        mClock = clock;
        mUpstreams = upstreams;
        mCaller = caller;
        mLimits = limits;
        mDuplicates = new DuplicateTable<>(limits, clock);
        mCounters = new RequestCounters(registry);
        mLatencies = new ServiceLatencies(registry);
        mStall = new StallMeter(clock);
    }

    /** A configuration is in force, so that requests may be served. */
    void configured() {
        mConfigured = true;
    }

    /** Takes no new work and moves the streams; what is in flight goes on. */
    void stop() {
        mStopping = true;
        mUpstreams.agentLeaves();
        mUpstreams.upstreams().forEach(this::moveStreams);
    }

    /** True if no request waits or runs. */
    boolean isIdle() {
        return mActive.isEmpty();
    }

    void message(EntryPeer peer, Message message) {
        switch (message) {
            case Request request -> request(peer, request);
            case Cancel cancel -> cancel(peer, cancel.id());
            case AnswerQuery query -> query(peer, query);
            default ->
                    LOG.warn(
                            "[agent] unexpected {} on a data connection",
                            message.getClass().getSimpleName());
        }
    }

    /** The connection of an entry has closed: nobody waits for its answers. */
    void disconnected(EntryPeer peer) {
        List.copyOf(peer.requests().keySet()).forEach(id -> cancel(peer, id));
        peer.requests().clear();
        mActive.values().forEach(active -> active.waiters().removeIf(w -> w.peer() == peer));
    }

    /** The connection of an entry can take more. */
    void drained(EntryPeer peer) {
        List<ActiveRequest> paused = List.copyOf(peer.paused());
        peer.paused().clear();
        paused.stream().filter(active -> !active.isDone()).forEach(a -> a.call().resume());
    }

    /** One pass over deadlines, lapsed announcements and expired duplicates. */
    void step() {
        mStall.tick();
        mDuplicates.expire();
        mUpstreams.expire();
        for (Upstream upstream : mUpstreams.upstreams()) {
            if (!upstream.accepts()) {
                moveStreams(upstream);
            }
        }
        long now = mClock.monotonicNanos();
        for (ActiveRequest active : List.copyOf(mActive.values())) {
            expireWaiters(active, now);
            if (active.deadlineNanos() - now <= 0 && !active.isStream()) {
                expire(active);
            }
        }
    }

    private void request(EntryPeer peer, Request request) {
        AttemptKey key =
                new AttemptKey(
                        request.attemptId(),
                        request.service(),
                        request.idempotencyKey(),
                        request.idempotent());
        long deadline = deadline(request.deadlineMillis());
        switch (mDuplicates.admit(key)) {
            case DuplicateDecision.Run<RecordedAnswer> run -> run(peer, request, key, deadline);
            case DuplicateDecision.Refuse<RecordedAnswer> refuse ->
                    refuse(peer, request.id(), key, refuse.reason());
            case DuplicateDecision<RecordedAnswer> known -> {
                mCounters.duplicates().inc();
                known(peer, request.id(), key, deadline, known);
            }
        }
    }

    private void query(EntryPeer peer, AnswerQuery query) {
        AttemptKey key =
                new AttemptKey(query.attemptId(), query.service(), query.idempotencyKey(), false);
        known(peer, query.id(), key, deadline(query.deadlineMillis()), mDuplicates.query(key));
    }

    private void known(
            EntryPeer peer,
            long id,
            AttemptKey key,
            long deadline,
            DuplicateDecision<RecordedAnswer> decision) {
        switch (decision) {
            case DuplicateDecision.Join<RecordedAnswer> join ->
                    join(join.attemptId(), new Waiter(peer, id, key, deadline));
            case DuplicateDecision.Replay<RecordedAnswer> replay ->
                    replay(peer, id, key.service(), replay.answer());
            case DuplicateDecision.NotRun<RecordedAnswer> notRun -> {
                mCounters.notRun().inc();
                peer.sink().send(new NotRun(id, notRun.reason(), load(key.service())));
            }
            case DuplicateDecision.Unknown<RecordedAnswer> unknown ->
                    unknown(peer, id, key.service(), unknown.reason());
            case DuplicateDecision.Run<RecordedAnswer> run -> {}
            case DuplicateDecision.Refuse<RecordedAnswer> refuse -> {}
        }
    }

    private void run(EntryPeer peer, Request request, AttemptKey key, long deadline) {
        Optional<Upstream> upstream = mUpstreams.select(request.service());
        Optional<String> refusal = refusal(request, upstream);
        if (refusal.isPresent()) {
            refuse(peer, request.id(), key, refusal.get());
            return;
        }
        ActiveRequest active = new ActiveRequest(key, request, upstream.get(), peer, deadline);
        SlotTable.Admission admission =
                upstream.get().slots().offer(active, deadline, request.stream());
        switch (admission) {
            case START -> {
                hold(active);
                passOn(active);
            }
            case QUEUED -> hold(active);
            default ->
                    refuse(
                            peer,
                            request.id(),
                            key,
                            "upstream is " + admission.name().toLowerCase(Locale.ROOT));
        }
    }

    private Optional<String> refusal(Request request, Optional<Upstream> upstream) {
        if (mStopping) {
            return Optional.of("agent is stopping");
        }
        if (!mConfigured) {
            return Optional.of("agent knows no configuration");
        }
        if (upstream.isEmpty()) {
            return Optional.of("no upstream of " + request.service() + " accepts requests");
        }
        return Optional.empty();
    }

    private void hold(ActiveRequest active) {
        mActive.put(active.key().attemptId(), active);
        active.peer().requests().put(active.request().id(), active);
    }

    private void passOn(ActiveRequest active) {
        active.passedOn(mClock.monotonicNanos());
        UpstreamCall call =
                mCaller.call(
                        active.upstream().state().address(), active.request(), new Answer(active));
        active.call(call);
    }

    private void startNext(Upstream upstream) {
        Optional<ActiveRequest> next = upstream.slots().next(this::tooLate);
        while (next.isPresent()) {
            passOn(next.get());
            next = upstream.slots().next(this::tooLate);
        }
    }

    private void tooLate(ActiveRequest active) {
        endNotRun(active, "deadline passed in the queue");
    }

    private void expire(ActiveRequest active) {
        if (active.isDone()) {
            return;
        }
        if (active.isPassedOn()) {
            active.call().cancel();
            endUnknown(active, "deadline passed");
        } else {
            active.upstream().slots().dropLate(this::tooLate);
        }
    }

    private void cancel(EntryPeer peer, long id) {
        ActiveRequest active = peer.requests().remove(id);
        if (active == null) {
            mActive.values().forEach(a -> removeWaiter(a, peer, id));
            return;
        }
        if (active.isDone()) {
            return;
        }
        peer.paused().remove(active);
        if (!active.isPassedOn()) {
            active.upstream().slots().cancel(active);
            endNotRun(active, "cancelled before it ran");
        } else if (active.key().hasKey() && !active.isStream()) {
            // The answer is recorded for a repeat of the key.
            active.detach();
            active.call().resume();
        } else {
            active.call().cancel();
            endUnknown(active, "cancelled");
        }
    }

    private void moveStreams(Upstream upstream) {
        if (upstream.slots().streams() == 0) {
            return;
        }
        for (ActiveRequest active : List.copyOf(mActive.values())) {
            if (active.upstream() == upstream && active.isStream()) {
                active.call().cancel();
                mCounters.moved().inc();
                send(active, new StreamMoved(active.request().id()));
                mDuplicates.unknown(active.key().attemptId(), "stream was moved");
                finish(active);
            }
        }
    }

    private void join(String attemptId, Waiter waiter) {
        ActiveRequest active = mActive.get(attemptId);
        if (active == null) {
            unknown(waiter.peer(), waiter.id(), waiter.key().service(), "attempt is not held");
            return;
        }
        boolean sameFrame = active.peer() == waiter.peer() && active.request().id() == waiter.id();
        if (sameFrame) {
            return;
        }
        if (active.waiters().size() >= MAX_WAITERS) {
            unknown(waiter.peer(), waiter.id(), waiter.key().service(), "attempt runs");
        } else {
            active.waiters().add(waiter);
        }
    }

    private void expireWaiters(ActiveRequest active, long now) {
        active.waiters()
                .removeIf(
                        waiter -> {
                            boolean expired = waiter.deadlineNanos() - now <= 0;
                            if (expired) {
                                unknown(
                                        waiter.peer(),
                                        waiter.id(),
                                        waiter.key().service(),
                                        "deadline passed while the attempt runs");
                            }
                            return expired;
                        });
    }

    private static void removeWaiter(ActiveRequest active, EntryPeer peer, long id) {
        active.waiters().removeIf(waiter -> waiter.peer() == peer && waiter.id() == id);
    }

    private void refuse(EntryPeer peer, long id, AttemptKey key, String reason) {
        if (mDuplicates.notRun(key, reason)) {
            mCounters.notRun().inc();
            peer.sink().send(new NotRun(id, reason, load(key.service())));
        } else {
            unknown(peer, id, key.service(), reason);
        }
    }

    private void replay(EntryPeer peer, long id, String service, RecordedAnswer answer) {
        AnswerSink sink = peer.sink();
        sink.send(new ResponseHead(id, answer.status(), answer.headers(), false));
        int chunks = answer.body().length == 0 ? 0 : 1;
        if (chunks > 0) {
            sink.send(new ResponseChunk(id, 0, answer.body()));
        }
        sink.send(new ResponseEnd(id, chunks, answer.body().length, load(service)));
    }

    private void unknown(EntryPeer peer, long id, String service, String reason) {
        mCounters.unknown().inc();
        peer.sink().send(new OutcomeUnknown(id, reason, load(service)));
    }

    private void endNotRun(ActiveRequest active, String reason) {
        if (!mDuplicates.notRun(active.key(), reason)) {
            endUnknown(active, reason);
            return;
        }
        mCounters.notRun().inc();
        finish(active);
        send(active, new NotRun(active.request().id(), reason, load(active)));
        active.waiters().forEach(w -> refuse(w.peer(), w.id(), w.key(), reason));
    }

    private void endUnknown(ActiveRequest active, String reason) {
        mCounters.unknown().inc();
        mDuplicates.unknown(active.key().attemptId(), reason);
        finish(active);
        send(active, new OutcomeUnknown(active.request().id(), reason, load(active)));
        active.waiters().forEach(w -> unknown(w.peer(), w.id(), w.key().service(), reason));
    }

    /** Frees what the request holds and starts the next one. */
    private void finish(ActiveRequest active) {
        active.done();
        mActive.remove(active.key().attemptId());
        if (active.peer() != null) {
            active.peer().requests().remove(active.request().id(), active);
            active.peer().paused().remove(active);
        }
        SlotTable<ActiveRequest> slots = active.upstream().slots();
        if (active.isStream()) {
            slots.streamEnded();
        } else if (active.isPassedOn()) {
            slots.abandoned();
        }
        startNext(active.upstream());
    }

    private static boolean send(ActiveRequest active, Message message) {
        return active.peer() == null || active.peer().sink().send(message);
    }

    private long deadline(long millis) {
        long bounded = Math.clamp(millis, 0, MAX_DEADLINE.toMillis());
        return mClock.monotonicNanos() + bounded * 1_000_000 - mStall.nanos();
    }

    private LoadReport load(ActiveRequest active) {
        return active.upstream().slots().load();
    }

    private LoadReport load(String service) {
        return mUpstreams.any(service).map(u -> u.slots().load()).orElse(NO_LOAD);
    }

    /** Answer of one request. */
    private final class Answer implements UpstreamCallListener {
        private final ActiveRequest mRequest;

        private Answer(ActiveRequest request) {
            mRequest = request;
        }

        @Override
        public void head(int status, List<HeaderField> headers) {
            if (mRequest.isDone()) {
                return;
            }
            boolean stream = isEventStream(status, headers);
            mRequest.head(status, headers, stream);
            if (stream) {
                mRequest.upstream().slots().becameStream();
                startNext(mRequest.upstream());
            }
            forward(new ResponseHead(mRequest.request().id(), status, headers, stream));
            if (stream && !mRequest.isDone() && !mRequest.upstream().accepts()) {
                moveStreams(mRequest.upstream());
            }
        }

        @Override
        public void bytes(byte[] bytes) {
            int offset = 0;
            while (offset < bytes.length && !mRequest.isDone()) {
                int length = Math.min(CHUNK_BYTES, bytes.length - offset);
                int index = mRequest.chunk(bytes, offset, length, mLimits.answerBytes());
                byte[] part =
                        length == bytes.length
                                ? bytes
                                : Arrays.copyOfRange(bytes, offset, offset + length);
                forward(new ResponseChunk(mRequest.request().id(), index, part));
                offset += length;
            }
            EntryPeer peer = mRequest.peer();
            if (!mRequest.isDone() && peer != null && !peer.sink().writable()) {
                peer.paused().add(mRequest);
                mRequest.call().pause();
            }
        }

        @Override
        public void end() {
            if (mRequest.isDone()) {
                return;
            }
            complete();
        }

        @Override
        public void failed(boolean passedOn, String reason) {
            if (mRequest.isDone()) {
                return;
            }
            if (passedOn) {
                endUnknown(mRequest, reason);
            } else {
                endNotRun(mRequest, reason);
            }
        }

        private void complete() {
            RecordedAnswer recorded = mRequest.recorded();
            int size = recorded == null ? 0 : recorded.body().length;
            mDuplicates.answered(mRequest.key().attemptId(), recorded, size);
            mCounters.answered().inc();
            release();
            send(
                    mRequest,
                    new ResponseEnd(
                            mRequest.request().id(),
                            mRequest.chunks(),
                            mRequest.bytes(),
                            load(mRequest)));
            answerWaiters(recorded);
            startNext(mRequest.upstream());
        }

        private void release() {
            mRequest.done();
            mActive.remove(mRequest.key().attemptId());
            if (mRequest.peer() != null) {
                mRequest.peer().requests().remove(mRequest.request().id(), mRequest);
                mRequest.peer().paused().remove(mRequest);
            }
            SlotTable<ActiveRequest> slots = mRequest.upstream().slots();
            if (mRequest.isStream()) {
                slots.streamEnded();
            } else {
                Duration time = Duration.ofNanos(mClock.monotonicNanos() - mRequest.startedNanos());
                slots.finished(time);
                mLatencies.record(mRequest.request().service(), time);
            }
        }

        private void answerWaiters(RecordedAnswer recorded) {
            for (Waiter waiter : mRequest.waiters()) {
                String service = waiter.key().service();
                if (recorded == null) {
                    unknown(waiter.peer(), waiter.id(), service, "answer was not recorded");
                } else {
                    replay(waiter.peer(), waiter.id(), service, recorded);
                }
            }
        }

        /** An answer with a lost part is broken off, because the entry must not complete it. */
        private void forward(Message message) {
            if (!send(mRequest, message)) {
                if (mRequest.key().hasKey() && !mRequest.isStream()) {
                    EntryPeer peer = mRequest.peer();
                    peer.requests().remove(mRequest.request().id(), mRequest);
                    peer.sink()
                            .send(
                                    new OutcomeUnknown(
                                            mRequest.request().id(),
                                            "answer could not be sent",
                                            load(mRequest)));
                    mRequest.detach();
                } else {
                    if (mRequest.call() != null) {
                        mRequest.call().cancel();
                    }
                    endUnknown(mRequest, "answer could not be sent");
                }
            }
        }
    }

    private static boolean isEventStream(int status, Collection<HeaderField> headers) {
        return status == 200
                && headers.stream()
                        .filter(h -> h.name().equalsIgnoreCase("content-type"))
                        .anyMatch(
                                h ->
                                        h.value()
                                                .toLowerCase(Locale.ROOT)
                                                .startsWith("text/event-stream"));
    }
}
