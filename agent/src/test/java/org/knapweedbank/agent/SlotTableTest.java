package org.knapweedbank.agent;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.knapweedbank.agent.SlotTable.Admission;
import org.knapweedbank.time.ManualClock;

class SlotTableTest {
    private static final long DEADLINE = Duration.ofSeconds(1).toNanos();

    private final ManualClock mClock = new ManualClock();
    private final SlotTable<String> mTable = new SlotTable<>(2, 4, mClock);

    /**
     * Guards against more running requests than slots, an unbounded queue, and requests served out
     * of order.
     */
    @Test
    void queueIsBoundedAndInOrder() {
        for (int i = 0; i < 2; i++) {
            assertThat(mTable.offer("r" + i, DEADLINE, false)).isEqualTo(Admission.START);
        }
        for (int i = 2; i < 6; i++) {
            assertThat(mTable.offer("r" + i, DEADLINE, false)).isEqualTo(Admission.QUEUED);
        }
        assertThat(mTable.offer("r6", DEADLINE, false)).isEqualTo(Admission.FULL);
        assertThat(mTable.refusalCount(Admission.FULL)).isEqualTo(1);
        assertThat(mTable.pollNext(late -> {})).isEmpty();
        mTable.abandonRequest();
        assertThat(mTable.pollNext(late -> {})).hasValue("r2");
        assertThat(mTable.pollNext(late -> {})).isEmpty();
    }

    /**
     * Guards against running a queued request after its deadline, when its caller no longer waits.
     * The expired request stands behind one that is still valid.
     */
    @Test
    void queuedRequestPastItsDeadlineIsDropped() {
        List<String> late = new ArrayList<>();
        mTable.offer("a", DEADLINE, false);
        mTable.offer("b", DEADLINE, false);
        mTable.offer("long", 2 * DEADLINE, false);
        mTable.offer("short", DEADLINE, false);
        mClock.advance(Duration.ofSeconds(1));
        mTable.abandonRequest();
        assertThat(mTable.pollNext(late::add)).hasValue("long");
        assertThat(late).containsExactly("short");
        assertThat(mTable.refusalCount(Admission.LATE)).isEqualTo(1);
    }

    /**
     * Guards against queueing a request that would start after its deadline according to the
     * measured service time.
     */
    @Test
    void refusesRequestThatWouldMissItsDeadline() {
        mTable.offer("a", DEADLINE, false);
        mTable.completeRequest(Duration.ofMillis(400));
        mTable.offer("b", DEADLINE, false);
        mTable.offer("c", DEADLINE, false);
        assertThat(mTable.offer("d", Duration.ofMillis(100).toNanos(), false))
                .isEqualTo(Admission.LATE);
        assertThat(mTable.offer("e", DEADLINE, false)).isEqualTo(Admission.QUEUED);
        assertThat(mTable.load().serviceMicros()).isEqualTo(400_000);
        assertThat(mTable.offer("f", 0, false)).isEqualTo(Admission.LATE);
    }

    /** Guards against event streams that occupy all connections or keep their slots. */
    @Test
    void streamsReleaseSlotsAndAreBounded() {
        for (int i = 0; i < 2; i++) {
            assertThat(mTable.offer("s" + i, DEADLINE, true)).isEqualTo(Admission.START);
            mTable.convertToStream();
        }
        assertThat(mTable.offer("s2", DEADLINE, true)).isEqualTo(Admission.FULL);
        assertThat(mTable.offer("a", DEADLINE, false)).isEqualTo(Admission.START);
        assertThat(mTable.offer("b", DEADLINE, false)).isEqualTo(Admission.START);
        assertThat(mTable.offer("c", DEADLINE, false)).isEqualTo(Admission.QUEUED);
        mTable.abandonRequest();
        mTable.endStream();
        assertThat(mTable.pollNext(late -> {})).hasValue("c");
        assertThat(mTable.isIdle()).isFalse();
    }

    /** Guards against new requests at a leaving upstream; queued requests still run. */
    @Test
    void leavingUpstreamServesItsQueue() {
        mTable.offer("a", DEADLINE, false);
        mTable.offer("b", DEADLINE, false);
        mTable.offer("c", DEADLINE, false);
        mTable.setLeaving(true);
        assertThat(mTable.offer("d", DEADLINE, false)).isEqualTo(Admission.LEAVING);
        mTable.abandonRequest();
        assertThat(mTable.pollNext(late -> {})).hasValue("c");
        assertThat(mTable.load().leaving()).isTrue();
    }

    /** Guards against an order of events that exceeds the slots, connections or queue limit. */
    @Test
    void limitsHoldForRandomEventOrder() {
        Random random = new Random(99);
        SlotTable<Integer> table = new SlotTable<>(8, 16, mClock);
        int running = 0;
        int streams = 0;
        for (int i = 0; i < 20_000; i++) {
            switch (random.nextInt(5)) {
                case 0, 1 ->
                        running +=
                                table.offer(i, Long.MAX_VALUE, random.nextBoolean())
                                                == Admission.START
                                        ? 1
                                        : 0;
                case 2 -> {
                    if (running > 0) {
                        table.abandonRequest();
                        running--;
                    }
                }
                case 3 -> {
                    if (running > 0) {
                        table.convertToStream();
                        running--;
                        streams++;
                    }
                }
                default -> {
                    if (streams > 0) {
                        table.endStream();
                        streams--;
                    }
                }
            }
            while (table.pollNext(late -> {}).isPresent()) {
                running++;
            }
            assertThat(running).isAtMost(8);
            assertThat(running + streams).isAtMost(16);
            assertThat(table.load().queued()).isAtMost(16);
        }
    }
}
