package org.knapweedbank.agent;

import static com.google.common.truth.Truth.assertThat;

import com.codahale.metrics.MetricRegistry;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.knapweedbank.routing.duplicate.DuplicateLimits;
import org.knapweedbank.time.ManualClock;
import org.knapweedbank.wire.AnswerQuery;
import org.knapweedbank.wire.Cancel;
import org.knapweedbank.wire.NotRun;
import org.knapweedbank.wire.OutcomeUnknown;
import org.knapweedbank.wire.Request;
import org.knapweedbank.wire.ResponseEnd;
import org.knapweedbank.wire.StreamMoved;
import org.knapweedbank.wire.UpstreamState;

class RequestDutyTest {
    private final ManualClock mClock = new ManualClock();
    private final FakeUpstream mUpstream = new FakeUpstream();
    private final List<UpstreamState> mStateChanges = new ArrayList<>();
    private final AnnouncementTable mTable = new AnnouncementTable(mClock, mStateChanges::add);
    private final FakeEntry mEntry = new FakeEntry();
    private final FakeEntry mOtherEntry = new FakeEntry();
    private RequestDuty mDuty;

    @BeforeEach
    void announce() throws AnnouncementException {
        mDuty = newDuty(DuplicateLimits.AGENT);
        mDuty.markConfigured();
        announce(false);
    }

    /** Guards against an answer that is forwarded with missing or miscounted parts. */
    @Test
    void forwardsAnswerInChunks() {
        send(mEntry, request(1, "a1", ""));
        mUpstream.mCalls.get(0).answer("x".repeat(RequestDuty.CHUNK_BYTES + 1));
        assertThat(mEntry.messageTypes())
                .containsExactly("ResponseHead", "ResponseChunk", "ResponseChunk", "ResponseEnd")
                .inOrder();
        ResponseEnd end = (ResponseEnd) mEntry.lastMessage();
        assertThat(end.chunks()).isEqualTo(2);
        assertThat(end.bytes()).isEqualTo(RequestDuty.CHUNK_BYTES + 1);
        assertThat(end.load().running()).isEqualTo(0);
        assertThat(mDuty.isIdle()).isTrue();
    }

    /** Guards against an incomplete answer that is reported as complete. */
    @Test
    void incompleteAnswerHasNoEnd() {
        send(mEntry, request(1, "a1", ""));
        FakeUpstream.Call call = mUpstream.mCalls.get(0);
        call.mListener.head(200, List.of());
        call.mListener.bytes(new byte[10]);
        call.mListener.failed(true, "connection broke");
        call.mListener.end();
        assertThat(mEntry.messageTypes())
                .containsExactly("ResponseHead", "ResponseChunk", "OutcomeUnknown")
                .inOrder();
    }

    /**
     * Guards against reporting a request as not run that may have run, and against reporting a
     * request as unknown that was never sent.
     */
    @Test
    void onlyUnsentRequestIsReportedAsNotRun() {
        send(mEntry, request(1, "a1", ""));
        send(mEntry, request(2, "a2", ""));
        mUpstream.mCalls.get(0).mListener.failed(false, "cannot connect");
        mUpstream.mCalls.get(1).mListener.failed(true, "connection broke");
        assertThat(mEntry.messageTypes()).containsExactly("NotRun", "OutcomeUnknown").inOrder();
    }

    /**
     * Guards against a request that was reported as not run and runs when a duplicate of it arrives
     * later.
     */
    @Test
    void copyOfRefusedRequestDoesNotRun() {
        send(mEntry, request(1, "a1", ""));
        mUpstream.mCalls.get(0).mListener.failed(false, "cannot connect");
        send(mEntry, request(9, "a1", ""));
        send(mOtherEntry, request(1, "a1", ""));
        assertThat(mUpstream.mCalls).hasSize(1);
        assertThat(mEntry.lastMessage()).isInstanceOf(NotRun.class);
        assertThat(mOtherEntry.lastMessage()).isInstanceOf(NotRun.class);
    }

    /** Guards against a duplicated request that runs twice or is answered twice. */
    @Test
    void duplicateRequestIsAnsweredOnce() {
        send(mEntry, request(1, "a1", ""));
        send(mEntry, request(1, "a1", ""));
        mUpstream.mCalls.get(0).answer("ok");
        assertThat(mUpstream.mCalls).hasSize(1);
        assertThat(mEntry.messageTypes())
                .containsExactly("ResponseHead", "ResponseChunk", "ResponseEnd")
                .inOrder();
        send(mEntry, request(1, "a1", ""));
        assertThat(mUpstream.mCalls).hasSize(1);
        assertThat(mEntry.lastMessage()).isInstanceOf(OutcomeUnknown.class);
    }

    /** Guards against a repeated idempotency key that runs the request again or gets no answer. */
    @Test
    void repeatedKeyGetsRecordedAnswer() {
        send(mEntry, request(1, "a1", "k"));
        send(mOtherEntry, request(1, "a2", "k"));
        assertThat(mOtherEntry.mReceived).isEmpty();
        mUpstream.mCalls.get(0).answer("ok");
        assertThat(mOtherEntry.messageTypes())
                .containsExactly("ResponseHead", "ResponseChunk", "ResponseEnd")
                .inOrder();
        mOtherEntry.mReceived.clear();
        mDuty.handleMessage(
                mOtherEntry.mEntryConnection, new AnswerQuery(2, "a1", "svc", "k", 1000));
        assertThat(mOtherEntry.lastMessage()).isInstanceOf(ResponseEnd.class);
        assertThat(mUpstream.mCalls).hasSize(1);
    }

    /**
     * Guards against a query for an unknown key that is answered as not run or causes a request.
     */
    @Test
    void queryOfUnknownKeyRunsNothing() {
        mDuty.handleMessage(mEntry.mEntryConnection, new AnswerQuery(2, "a1", "svc", "k", 1000));
        assertThat(mEntry.lastMessage()).isInstanceOf(OutcomeUnknown.class);
        assertThat(mUpstream.mCalls).isEmpty();
    }

    /**
     * Guards against aborting a request with an idempotency key when its entry disconnects, so that
     * a repeat could not be answered.
     */
    @Test
    void requestWithKeyContinuesAfterEntryDisconnects() {
        send(mEntry, request(1, "a1", "k"));
        mDuty.handleDisconnect(mEntry.mEntryConnection);
        assertThat(mUpstream.mCalls.get(0).mCancelled).isFalse();
        send(mOtherEntry, request(5, "a2", "k"));
        mUpstream.mCalls.get(0).answer("ok");
        assertThat(mOtherEntry.lastMessage()).isInstanceOf(ResponseEnd.class);
        assertThat(mEntry.mReceived).isEmpty();
    }

    /** Guards against slots that stay occupied by cancelled requests. */
    @Test
    void cancelledRequestReleasesSlot() {
        for (int i = 0; i < 9; i++) {
            send(mEntry, request(i, "a" + i, ""));
        }
        assertThat(mUpstream.mCalls).hasSize(8);
        mDuty.handleMessage(mEntry.mEntryConnection, new Cancel(3));
        assertThat(mUpstream.mCalls.get(3).mCancelled).isTrue();
        assertThat(mUpstream.mCalls).hasSize(9);
        mDuty.handleDisconnect(mEntry.mEntryConnection);
        assertThat(mDuty.isIdle()).isTrue();
        assertThat(mTable.upstreams().get(0).slots().isIdle()).isTrue();
    }

    /** Guards against a cancelled request that runs later from the queue or as a duplicate. */
    @Test
    void cancelledQueuedRequestDoesNotRun() {
        for (int i = 0; i < 9; i++) {
            send(mEntry, request(i, "a" + i, ""));
        }
        mDuty.handleMessage(mEntry.mEntryConnection, new Cancel(8));
        mUpstream.mCalls.get(0).answer("ok");
        send(mEntry, request(20, "a8", ""));
        assertThat(mUpstream.mCalls).hasSize(8);
        assertThat(mEntry.lastMessage()).isInstanceOf(NotRun.class);
    }

    /** Guards against requests that stay in the queue or at the upstream after their deadline. */
    @Test
    void deadlineEndsQueuedAndRunningRequests() {
        for (int i = 0; i < 10; i++) {
            send(mEntry, request(i, "a" + i, ""));
        }
        mClock.advance(Duration.ofSeconds(10));
        mDuty.step();
        assertThat(mEntry.messageTypes().stream().filter("NotRun"::equals)).hasSize(2);
        assertThat(mEntry.messageTypes().stream().filter("OutcomeUnknown"::equals)).hasSize(8);
        assertThat(mUpstream.mCalls).hasSize(8);
        assertThat(mUpstream.mCalls.stream().allMatch(c -> c.mCancelled)).isTrue();
        assertThat(mDuty.isIdle()).isTrue();
    }

    /**
     * Guards against running a request that waited in the socket buffer beyond its deadline during
     * a pause of the process.
     */
    @Test
    void processPauseCountsAgainstDeadline() {
        mDuty.step();
        mClock.advance(Duration.ofSeconds(11));
        announceUnchecked();
        send(mEntry, request(1, "a1", ""));
        assertThat(mEntry.lastMessage()).isInstanceOf(NotRun.class);
        mDuty.step();
        send(mEntry, request(2, "a2", ""));
        assertThat(mEntry.lastMessage()).isInstanceOf(NotRun.class);
        mClock.advance(Duration.ofMillis(50));
        mDuty.step();
        send(mEntry, request(3, "a3", ""));
        assertThat(mUpstream.mCalls).hasSize(1);
    }

    /**
     * Guards against new requests for an upstream that is leaving or whose announcement has
     * expired.
     */
    @Test
    void leavingAndExpiredUpstreamsGetNoRequests() throws AnnouncementException {
        announce(true);
        send(mEntry, request(1, "a1", ""));
        announce(false);
        mClock.advance(AnnouncementTable.VALIDITY);
        mDuty.step();
        send(mEntry, request(2, "a2", ""));
        assertThat(mEntry.messageTypes()).containsExactly("NotRun", "NotRun");
        assertThat(mUpstream.mCalls).isEmpty();
        assertThat(mStateChanges.getLast().gone()).isTrue();
    }

    /**
     * Guards against exceeding the slots of an upstream that announces itself again while its
     * earlier requests still run.
     */
    @Test
    void reannouncedUpstreamKeepsItsRunningRequests() throws AnnouncementException {
        for (int i = 0; i < 8; i++) {
            send(mEntry, request(i, "a" + i, ""));
        }
        mClock.advance(AnnouncementTable.VALIDITY);
        mDuty.step();
        announce(false);
        send(mEntry, request(8, "a8", ""));
        assertThat(mUpstream.mCalls).hasSize(8);
        assertThat(mStateChanges.getLast().gone()).isFalse();
    }

    /**
     * Guards against an event stream that ends when its upstream leaves, instead of being moved.
     */
    @Test
    void streamMovesWhenUpstreamLeaves() throws AnnouncementException {
        send(mEntry, stream(1));
        mUpstream.mCalls.get(0).beginStream();
        mClock.advance(Duration.ofSeconds(5));
        announce(false);
        mClock.advance(Duration.ofSeconds(5));
        announce(false);
        mDuty.step();
        assertThat(mEntry.messageTypes()).containsExactly("ResponseHead");
        announce(true);
        mDuty.step();
        assertThat(mEntry.lastMessage()).isEqualTo(new StreamMoved(1));
        assertThat(mUpstream.mCalls.get(0).mCancelled).isTrue();
        assertThat(mDuty.isIdle()).isTrue();
    }

    /**
     * Guards against a stop that aborts requests in flight, drops event streams or accepts new
     * requests.
     */
    @Test
    void stopCompletesRequestsInFlight() {
        send(mEntry, stream(1));
        mUpstream.mCalls.get(0).beginStream();
        send(mEntry, stream(2));
        send(mEntry, request(3, "a3", ""));
        mDuty.stop();
        assertThat(mEntry.lastMessage()).isEqualTo(new StreamMoved(1));
        mUpstream.mCalls.get(1).beginStream();
        assertThat(mEntry.lastMessage()).isEqualTo(new StreamMoved(2));
        send(mEntry, request(4, "a4", ""));
        assertThat(mEntry.lastMessage()).isInstanceOf(NotRun.class);
        assertThat(mDuty.isIdle()).isFalse();
        mUpstream.mCalls.get(2).answer("ok");
        assertThat(mEntry.lastMessage()).isInstanceOf(ResponseEnd.class);
        assertThat(mDuty.isIdle()).isTrue();
        assertThat(mStateChanges.getLast().leaving()).isTrue();
    }

    /** Guards against unbounded buffering for an entry that reads slowly. */
    @Test
    void slowEntryPausesUpstream() {
        send(mEntry, request(1, "a1", ""));
        FakeUpstream.Call call = mUpstream.mCalls.get(0);
        call.mListener.head(200, List.of());
        mEntry.mWritable = false;
        call.mListener.bytes(new byte[100]);
        assertThat(call.mPaused).isTrue();
        mDuty.resumePaused(mEntry.mEntryConnection);
        assertThat(call.mPaused).isFalse();
    }

    /** Guards against an answer that continues after one of its parts could not be sent. */
    @Test
    void answerWithUnsentPartIsAborted() {
        send(mEntry, request(1, "a1", ""));
        FakeUpstream.Call call = mUpstream.mCalls.get(0);
        call.mListener.head(200, List.of());
        mEntry.mSendFails = true;
        call.mListener.bytes(new byte[100]);
        mEntry.mSendFails = false;
        call.mListener.bytes(new byte[100]);
        call.mListener.end();
        assertThat(call.mCancelled).isTrue();
        assertThat(mEntry.messageTypes()).containsExactly("ResponseHead");
    }

    /** Guards against serving requests before a configuration is in force. */
    @Test
    void refusesBeforeTheFirstConfiguration() {
        mDuty = newDuty(DuplicateLimits.AGENT);
        send(mEntry, request(1, "a1", ""));
        assertThat(mEntry.lastMessage()).isInstanceOf(NotRun.class);
    }

    /**
     * Guards against reporting a request as not run when the refusal cannot be recorded, so that a
     * later duplicate could run.
     */
    @Test
    void refusalThatCannotBeRecordedIsUnknown() {
        mDuty = newDuty(new DuplicateLimits(1, 1, 10, 10, Duration.ofMinutes(1)));
        mDuty.markConfigured();
        send(mEntry, request(1, "a1", ""));
        send(mEntry, request(2, "a2", ""));
        send(mEntry, request(3, "a3", ""));
        assertThat(mEntry.messageTypes()).containsExactly("NotRun", "OutcomeUnknown").inOrder();
    }

    private RequestDuty newDuty(DuplicateLimits limits) {
        return new RequestDuty(mClock, mTable, mUpstream, limits, new MetricRegistry());
    }

    private void announce(boolean leaving) throws AnnouncementException {
        mTable.announce(new Announcement("svc", "127.0.0.1:9000", 8, 64, leaving));
    }

    private void announceUnchecked() {
        try {
            announce(false);
        } catch (AnnouncementException e) {
            throw new AssertionError(e);
        }
    }

    private void send(FakeEntry entry, Request request) {
        mDuty.handleMessage(entry.mEntryConnection, request);
    }

    private static Request request(long id, String attempt, String key) {
        return request(id, attempt, key, false);
    }

    private static Request stream(long id) {
        return request(id, "s" + id, "", true);
    }

    private static Request request(long id, String attempt, String key, boolean stream) {
        return new Request(
                id,
                attempt,
                key,
                stream,
                "svc",
                stream ? "GET" : "POST",
                "/x",
                List.of(),
                new byte[0],
                10_000,
                stream,
                "c-1");
    }
}
