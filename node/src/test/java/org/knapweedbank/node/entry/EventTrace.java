package org.knapweedbank.node.entry;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.knapweedbank.jobs.DecisionLog;
import org.knapweedbank.time.Clock;

/** Lines of what happened in a run of the explorer, with the virtual time. */
final class EventTrace {
    private final Clock mClock;
    private final boolean mEnabled;
    private final List<String> mLines = new ArrayList<>();

    EventTrace(Clock clock, boolean enabled) {
        mClock = clock;
        mEnabled = enabled;
    }

    void add(String source, String event, Object... details) {
        if (mEnabled) {
            mLines.add(
                    String.format(
                            "%9.3f %-9s %s %s",
                            mClock.monotonicMillis() / 1_000.0,
                            source,
                            event,
                            Arrays.toString(details)));
        }
    }

    /** Returns a decision log that writes to this trace. */
    DecisionLog log(String source) {
        return mEnabled
                ? (event, subject, fields) -> add(source, event, subject, Arrays.toString(fields))
                : DecisionLog.NONE;
    }

    List<String> lines() {
        return mLines;
    }
}
