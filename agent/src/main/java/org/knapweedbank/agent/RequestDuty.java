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
 * Serves the requests of entries: suppresses duplicates, limits the requests to the slots of the
 * upstreams, forwards the requests and returns the answers. {@code NotRun} is sent only for
 * attempts that are recorded as not run in the duplicate table, so that no duplicate of them runs
 * later. Not thread-safe; used on one event loop only.
 */
final class RequestDuty {
    /** Maximum size of a part of an answer in one message. */
    static final int CHUNK_BYTES = 32 * 1024;

    /**
     * Maximum deadline of a request, to which longer ones are reduced; longer work belongs in a
     * batch job.
     */
    static final Duration MAX_DEADLINE = Duration.ofMinutes(10);

    /** Maximum number of duplicates that wait for the answer of one request. */
    private static final int MAX_WAITING_DUPLICATES = 16;

    private static final LoadReport NO_LOAD = new LoadReport(0, 0, 0, 0, true);
    private static final Logger LOG = LogManager.getLogger(RequestDuty.class);

    private final Clock mClock;
    private final AnnouncementTable mUpstreams;
    private final UpstreamCaller mCaller;
    private final DuplicateTable<RecordedAnswer> mDuplicates;
    private final DuplicateLimits mLimits;
    private final RequestCounters mCounters;
    private final ServiceLatencies mLatencies;
    private final StallMeter mStallMeter;
    private final Map<String, ActiveRequest> mActiveRequests = new HashMap<>();
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
        mStallMeter = new StallMeter(clock);
    }

    /** Records that a configuration is in force; requests are refused before that. */
    void markConfigured() {
        mConfigured = true;
    }

    /**
     * Stops accepting requests and moves the event streams to other upstreams. Requests in flight
     * continue.
     */
    void stop() {
        mStopping = true;
        mUpstreams.markAllLeaving();
        mUpstreams.upstreams().forEach(this::moveStreams);
    }

    /** Returns true if no request is queued or running. */
    boolean isIdle() {
        return mActiveRequests.isEmpty();
    }

    /** Handles a message of an entry. */
    void handleMessage(EntryConnection entryConnection, Message message) {
        switch (message) {
            case Request request -> handleRequest(entryConnection, request);
            case Cancel cancel -> cancel(entryConnection, cancel.id());
            case AnswerQuery query -> handleQuery(entryConnection, query);
            default ->
                    LOG.warn(
                            "[agent] unexpected message {} on a data connection",
                            message.getClass().getSimpleName());
        }
    }

    /**
     * Handles the end of an entry's connection: cancels its requests and its waiting duplicates.
     */
    void handleDisconnect(EntryConnection entryConnection) {
        List.copyOf(entryConnection.openRequests().keySet())
                .forEach(id -> cancel(entryConnection, id));
        entryConnection.openRequests().clear();
        mActiveRequests
                .values()
                .forEach(
                        active ->
                                active.waitingDuplicates()
                                        .removeIf(w -> w.entryConnection() == entryConnection));
    }

    /** Resumes the paused requests of an entry whose connection is writable again. */
    void resumePaused(EntryConnection entryConnection) {
        List<ActiveRequest> paused = List.copyOf(entryConnection.pausedRequests());
        entryConnection.pausedRequests().clear();
        paused.stream().filter(active -> !active.isDone()).forEach(a -> a.call().resume());
    }

    /** Handles expired deadlines, announcements and duplicate records; called periodically. */
    void step() {
        mStallMeter.tick();
        mDuplicates.expire();
        mUpstreams.expire();
        for (Upstream upstream : mUpstreams.upstreams()) {
            if (!upstream.acceptsRequests()) {
                moveStreams(upstream);
            }
        }
        long now = mClock.monotonicNanos();
        for (ActiveRequest active : List.copyOf(mActiveRequests.values())) {
            expireWaitingDuplicates(active, now);
            if (active.deadlineNanos() - now <= 0 && !active.isStream()) {
                expire(active);
            }
        }
    }

    private void handleRequest(EntryConnection entryConnection, Request request) {
        AttemptKey key =
                new AttemptKey(
                        request.attemptId(),
                        request.service(),
                        request.idempotencyKey(),
                        request.idempotent());
        long deadline = deadline(request.deadlineMillis());
        switch (mDuplicates.admit(key)) {
            case DuplicateDecision.Run<RecordedAnswer> run ->
                    admit(entryConnection, request, key, deadline);
            case DuplicateDecision.Refuse<RecordedAnswer> refuse ->
                    refuse(entryConnection, request.id(), key, refuse.reason());
            case DuplicateDecision<RecordedAnswer> known -> {
                mCounters.duplicates().inc();
                answerDuplicate(entryConnection, request.id(), key, deadline, known);
            }
        }
    }

    private void handleQuery(EntryConnection entryConnection, AnswerQuery query) {
        AttemptKey key =
                new AttemptKey(query.attemptId(), query.service(), query.idempotencyKey(), false);
        answerDuplicate(
                entryConnection,
                query.id(),
                key,
                deadline(query.deadlineMillis()),
                mDuplicates.query(key));
    }

    /** Answers a request or query for an attempt or key that the duplicate table knows. */
    private void answerDuplicate(
            EntryConnection entryConnection,
            long id,
            AttemptKey key,
            long deadline,
            DuplicateDecision<RecordedAnswer> decision) {
        switch (decision) {
            case DuplicateDecision.Join<RecordedAnswer> join ->
                    join(
                            join.attemptId(),
                            new WaitingDuplicate(entryConnection, id, key, deadline));
            case DuplicateDecision.Replay<RecordedAnswer> replay ->
                    replay(entryConnection, id, key.service(), replay.answer());
            case DuplicateDecision.NotRun<RecordedAnswer> notRun -> {
                mCounters.notRun().inc();
                entryConnection.sender().send(new NotRun(id, notRun.reason(), load(key.service())));
            }
            case DuplicateDecision.Unknown<RecordedAnswer> unknown ->
                    sendUnknown(entryConnection, id, key.service(), unknown.reason());
            case DuplicateDecision.Run<RecordedAnswer> run -> {}
            case DuplicateDecision.Refuse<RecordedAnswer> refuse -> {}
        }
    }

    /** Admits a new request to an upstream, or refuses it. */
    private void admit(
            EntryConnection entryConnection, Request request, AttemptKey key, long deadline) {
        Optional<Upstream> upstream = mUpstreams.select(request.service());
        Optional<String> refusal = refusal(request, upstream);
        if (refusal.isPresent()) {
            refuse(entryConnection, request.id(), key, refusal.get());
            return;
        }
        ActiveRequest active =
                new ActiveRequest(key, request, upstream.get(), entryConnection, deadline);
        SlotTable.Admission admission =
                upstream.get().slots().offer(active, deadline, request.stream());
        switch (admission) {
            case START -> {
                register(active);
                forward(active);
            }
            case QUEUED -> register(active);
            default ->
                    refuse(
                            entryConnection,
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

    private void register(ActiveRequest active) {
        mActiveRequests.put(active.key().attemptId(), active);
        active.entryConnection().openRequests().put(active.request().id(), active);
    }

    private void forward(ActiveRequest active) {
        active.markForwarded(mClock.monotonicNanos());
        UpstreamCall call =
                mCaller.call(
                        active.upstream().state().address(), active.request(), new Answer(active));
        active.setCall(call);
    }

    private void startNext(Upstream upstream) {
        Optional<ActiveRequest> next = upstream.slots().pollNext(this::endExpired);
        while (next.isPresent()) {
            forward(next.get());
            next = upstream.slots().pollNext(this::endExpired);
        }
    }

    private void endExpired(ActiveRequest active) {
        endNotRun(active, "deadline passed in the queue");
    }

    private void expire(ActiveRequest active) {
        if (active.isDone()) {
            return;
        }
        if (active.isForwarded()) {
            active.call().cancel();
            endUnknown(active, "deadline passed");
        } else {
            active.upstream().slots().dropExpired(this::endExpired);
        }
    }

    /** Handles the cancellation of a request or of a waiting duplicate by its entry. */
    private void cancel(EntryConnection entryConnection, long id) {
        ActiveRequest active = entryConnection.openRequests().remove(id);
        if (active == null) {
            mActiveRequests.values().forEach(a -> removeWaitingDuplicate(a, entryConnection, id));
            return;
        }
        if (active.isDone()) {
            return;
        }
        entryConnection.pausedRequests().remove(active);
        if (!active.isForwarded()) {
            active.upstream().slots().cancel(active);
            endNotRun(active, "cancelled before it ran");
        } else if (active.key().hasKey() && !active.isStream()) {
            // The request continues, and its answer is recorded for repeats of the key.
            active.detach();
            active.call().resume();
        } else {
            active.call().cancel();
            endUnknown(active, "cancelled");
        }
    }

    /** Ends the event streams of an upstream and tells the entries to reopen them elsewhere. */
    private void moveStreams(Upstream upstream) {
        if (upstream.slots().streamCount() == 0) {
            return;
        }
        for (ActiveRequest active : List.copyOf(mActiveRequests.values())) {
            if (active.upstream() == upstream && active.isStream()) {
                active.call().cancel();
                mCounters.streamsMoved().inc();
                send(active, new StreamMoved(active.request().id()));
                mDuplicates.unknown(active.key().attemptId(), "stream was moved");
                finish(active);
            }
        }
    }

    /** Lets a duplicate wait for the answer of the running request. */
    private void join(String attemptId, WaitingDuplicate duplicate) {
        ActiveRequest active = mActiveRequests.get(attemptId);
        if (active == null) {
            sendUnknown(
                    duplicate.entryConnection(),
                    duplicate.id(),
                    duplicate.key().service(),
                    "attempt is not held");
            return;
        }
        boolean sameFrame =
                active.entryConnection() == duplicate.entryConnection()
                        && active.request().id() == duplicate.id();
        if (sameFrame) {
            return;
        }
        if (active.waitingDuplicates().size() >= MAX_WAITING_DUPLICATES) {
            sendUnknown(
                    duplicate.entryConnection(),
                    duplicate.id(),
                    duplicate.key().service(),
                    "attempt runs");
        } else {
            active.waitingDuplicates().add(duplicate);
        }
    }

    private void expireWaitingDuplicates(ActiveRequest active, long now) {
        active.waitingDuplicates()
                .removeIf(
                        duplicate -> {
                            boolean expired = duplicate.deadlineNanos() - now <= 0;
                            if (expired) {
                                sendUnknown(
                                        duplicate.entryConnection(),
                                        duplicate.id(),
                                        duplicate.key().service(),
                                        "deadline passed while the attempt runs");
                            }
                            return expired;
                        });
    }

    private static void removeWaitingDuplicate(
            ActiveRequest active, EntryConnection entryConnection, long id) {
        active.waitingDuplicates()
                .removeIf(
                        duplicate ->
                                duplicate.entryConnection() == entryConnection
                                        && duplicate.id() == id);
    }

    /**
     * Refuses a request as not run. If the refusal cannot be recorded in the duplicate table, the
     * outcome is reported as unknown instead.
     */
    private void refuse(EntryConnection entryConnection, long id, AttemptKey key, String reason) {
        if (mDuplicates.notRun(key, reason)) {
            mCounters.notRun().inc();
            entryConnection.sender().send(new NotRun(id, reason, load(key.service())));
        } else {
            sendUnknown(entryConnection, id, key.service(), reason);
        }
    }

    /** Sends a recorded answer to a request that repeats an attempt or an idempotency key. */
    private void replay(
            EntryConnection entryConnection, long id, String service, RecordedAnswer answer) {
        AnswerSender sender = entryConnection.sender();
        sender.send(new ResponseHead(id, answer.status(), answer.headers(), false));
        int chunks = answer.body().length == 0 ? 0 : 1;
        if (chunks > 0) {
            sender.send(new ResponseChunk(id, 0, answer.body()));
        }
        sender.send(new ResponseEnd(id, chunks, answer.body().length, load(service)));
    }

    private void sendUnknown(
            EntryConnection entryConnection, long id, String service, String reason) {
        mCounters.unknown().inc();
        entryConnection.sender().send(new OutcomeUnknown(id, reason, load(service)));
    }

    /**
     * Ends a request that was not forwarded, and reports it as not run to all entries that wait for
     * it. If this cannot be recorded in the duplicate table, the outcome is reported as unknown
     * instead.
     */
    private void endNotRun(ActiveRequest active, String reason) {
        if (!mDuplicates.notRun(active.key(), reason)) {
            endUnknown(active, reason);
            return;
        }
        mCounters.notRun().inc();
        finish(active);
        send(active, new NotRun(active.request().id(), reason, load(active)));
        active.waitingDuplicates()
                .forEach(w -> refuse(w.entryConnection(), w.id(), w.key(), reason));
    }

    /** Ends a request and reports its outcome as unknown to all entries that wait for it. */
    private void endUnknown(ActiveRequest active, String reason) {
        mCounters.unknown().inc();
        mDuplicates.unknown(active.key().attemptId(), reason);
        finish(active);
        send(active, new OutcomeUnknown(active.request().id(), reason, load(active)));
        active.waitingDuplicates()
                .forEach(w -> sendUnknown(w.entryConnection(), w.id(), w.key().service(), reason));
    }

    /**
     * Releases the resources of a request that was not answered, and starts the next queued
     * request.
     */
    private void finish(ActiveRequest active) {
        active.markDone();
        mActiveRequests.remove(active.key().attemptId());
        if (active.entryConnection() != null) {
            active.entryConnection().openRequests().remove(active.request().id(), active);
            active.entryConnection().pausedRequests().remove(active);
        }
        SlotTable<ActiveRequest> slots = active.upstream().slots();
        if (active.isStream()) {
            slots.endStream();
        } else if (active.isForwarded()) {
            slots.abandonRequest();
        }
        startNext(active.upstream());
    }

    private static boolean send(ActiveRequest active, Message message) {
        return active.entryConnection() == null || active.entryConnection().sender().send(message);
    }

    /** Returns the monotonic deadline, reduced by the time the request may have waited unread. */
    private long deadline(long millis) {
        long bounded = Math.clamp(millis, 0, MAX_DEADLINE.toMillis());
        return mClock.monotonicNanos() + bounded * 1_000_000 - mStallMeter.stallNanos();
    }

    private LoadReport load(ActiveRequest active) {
        return active.upstream().slots().load();
    }

    private LoadReport load(String service) {
        return mUpstreams.findAny(service).map(u -> u.slots().load()).orElse(NO_LOAD);
    }

    /** Relays the upstream's answer to one request. */
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
            mRequest.recordHead(status, headers, stream);
            if (stream) {
                mRequest.upstream().slots().convertToStream();
                startNext(mRequest.upstream());
            }
            sendToEntry(new ResponseHead(mRequest.request().id(), status, headers, stream));
            if (stream && !mRequest.isDone() && !mRequest.upstream().acceptsRequests()) {
                moveStreams(mRequest.upstream());
            }
        }

        @Override
        public void bytes(byte[] bytes) {
            int offset = 0;
            while (offset < bytes.length && !mRequest.isDone()) {
                int length = Math.min(CHUNK_BYTES, bytes.length - offset);
                int index = mRequest.recordChunk(bytes, offset, length, mLimits.answerBytes());
                byte[] part =
                        length == bytes.length
                                ? bytes
                                : Arrays.copyOfRange(bytes, offset, offset + length);
                sendToEntry(new ResponseChunk(mRequest.request().id(), index, part));
                offset += length;
            }
            EntryConnection entryConnection = mRequest.entryConnection();
            if (!mRequest.isDone()
                    && entryConnection != null
                    && !entryConnection.sender().writable()) {
                entryConnection.pausedRequests().add(mRequest);
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
        public void failed(boolean requestSent, String reason) {
            if (mRequest.isDone()) {
                return;
            }
            if (requestSent) {
                endUnknown(mRequest, reason);
            } else {
                endNotRun(mRequest, reason);
            }
        }

        private void complete() {
            RecordedAnswer recorded = mRequest.recordedAnswer();
            int size = recorded == null ? 0 : recorded.body().length;
            mDuplicates.answered(mRequest.key().attemptId(), recorded, size);
            mCounters.answered().inc();
            release();
            send(
                    mRequest,
                    new ResponseEnd(
                            mRequest.request().id(),
                            mRequest.chunkCount(),
                            mRequest.byteCount(),
                            load(mRequest)));
            answerWaitingDuplicates(recorded);
            startNext(mRequest.upstream());
        }

        private void release() {
            mRequest.markDone();
            mActiveRequests.remove(mRequest.key().attemptId());
            if (mRequest.entryConnection() != null) {
                mRequest.entryConnection().openRequests().remove(mRequest.request().id(), mRequest);
                mRequest.entryConnection().pausedRequests().remove(mRequest);
            }
            SlotTable<ActiveRequest> slots = mRequest.upstream().slots();
            if (mRequest.isStream()) {
                slots.endStream();
            } else {
                Duration time = Duration.ofNanos(mClock.monotonicNanos() - mRequest.startedNanos());
                slots.completeRequest(time);
                mLatencies.record(mRequest.request().service(), time);
            }
        }

        private void answerWaitingDuplicates(RecordedAnswer recorded) {
            for (WaitingDuplicate duplicate : mRequest.waitingDuplicates()) {
                String service = duplicate.key().service();
                if (recorded == null) {
                    sendUnknown(
                            duplicate.entryConnection(),
                            duplicate.id(),
                            service,
                            "answer was not recorded");
                } else {
                    replay(duplicate.entryConnection(), duplicate.id(), service, recorded);
                }
            }
        }

        /**
         * Sends a part of the answer to the entry. If it cannot be sent, the answer is aborted,
         * because the entry must not treat an answer with a missing part as complete. A request
         * with an idempotency key continues, so that its answer is recorded for repeats.
         */
        private void sendToEntry(Message message) {
            if (!send(mRequest, message)) {
                if (mRequest.key().hasKey() && !mRequest.isStream()) {
                    EntryConnection entryConnection = mRequest.entryConnection();
                    entryConnection.openRequests().remove(mRequest.request().id(), mRequest);
                    entryConnection
                            .sender()
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
