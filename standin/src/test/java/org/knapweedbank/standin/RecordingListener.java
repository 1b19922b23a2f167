package org.knapweedbank.standin;

import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.knapweedbank.store.KeyEntry;
import org.knapweedbank.store.WatchListener;

/** Watch listener that records its notifications as text. */
public final class RecordingListener implements WatchListener {
    private static final long TIMEOUT_SECONDS = 10;

    private final BlockingQueue<String> mNotifications = new LinkedBlockingQueue<>();

    @Override
    public void put(KeyEntry entry) {
        mNotifications.add("put " + entry.key() + "=" + entry.text());
    }

    @Override
    public void deleted(String key, long revision) {
        mNotifications.add("deleted " + key);
    }

    @Override
    public void interrupted(String reason) {
        mNotifications.add("interrupted");
    }

    @Override
    public void connected() {
        mNotifications.add("connected");
    }

    @Override
    public void compacted(long revision) {
        mNotifications.add("compacted");
    }

    /**
     * Waits for the next notification and removes it.
     *
     * @return text of the notification, or {@code nothing} if none arrives within 10 seconds
     */
    public String awaitNotification() throws InterruptedException {
        String notification = mNotifications.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        return notification == null ? "nothing" : notification;
    }

    /**
     * Skips interruptions, of which there may be several, and waits for the next other
     * notification.
     *
     * @return text of the notification, or {@code nothing} if none arrives within 10 seconds
     */
    public String awaitNotificationAfterInterruption() throws InterruptedException {
        String notification = awaitNotification();
        while (notification.equals("interrupted")) {
            notification = awaitNotification();
        }
        return notification;
    }
}
