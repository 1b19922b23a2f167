package org.knapweedbank.standin;

import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.knapweedbank.store.KeyEntry;
import org.knapweedbank.store.WatchListener;

/** Collects the reports of a watch as text. */
public final class RecordingListener implements WatchListener {
    private static final long LIMIT_SECONDS = 10;

    private final BlockingQueue<String> mReports = new LinkedBlockingQueue<>();

    @Override
    public void put(KeyEntry entry) {
        mReports.add("put " + entry.key() + "=" + entry.text());
    }

    @Override
    public void deleted(String key, long revision) {
        mReports.add("deleted " + key);
    }

    @Override
    public void interrupted(String reason) {
        mReports.add("interrupted");
    }

    @Override
    public void connected() {
        mReports.add("connected");
    }

    @Override
    public void compacted(long revision) {
        mReports.add("compacted");
    }

    /** The next report, once it has arrived. */
    public String next() throws InterruptedException {
        String report = mReports.poll(LIMIT_SECONDS, TimeUnit.SECONDS);
        return report == null ? "nothing" : report;
    }

    /** The next report of another kind than an interruption, of which there may be several. */
    public String nextAfterInterruption() throws InterruptedException {
        String report = next();
        while (report.equals("interrupted")) {
            report = next();
        }
        return report;
    }
}
