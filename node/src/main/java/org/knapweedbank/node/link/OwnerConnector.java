package org.knapweedbank.node.link;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.Consumer;
import org.knapweedbank.jobs.DecisionLog;
import org.knapweedbank.node.Timers;

/**
 * Keeps a link to the owner. It tries the address that it was told last, then the other entries
 * that it knows, which redirect it; the list of entries is refreshed while there is no owner.
 */
public final class OwnerConnector {
    private static final Duration RETRY = Duration.ofMillis(100);

    /** Time in which the other side has to answer the first message. */
    private static final Duration ANSWER = Duration.ofMillis(1_000);

    private final Links mLinks;
    private final Timers mTimers;
    private final DecisionLog mLog;
    private final NodeMessage mHello;
    private final OwnerListener mListener;
    private final Consumer<Consumer<List<String>>> mRefresh;
    private List<String> mEntries = List.of();
    private String mHint = "";

    /** Address at which the owner was lost; it is tried after all others. */
    private String mLostAt = "";

    private int mNext;
    private Link mOwner;
    private int mAttempt;
    private boolean mStopped;

    /**
     * Creates the connector; {@link #start} begins to connect.
     *
     * @param links opens links
     * @param timers timers of the process
     * @param log receives connections and losses
     * @param hello first message on each link
     * @param listener receives the owner's messages
     * @param refresh asks for the addresses of the entries, the owner's first if known; it may
     *     answer later or not at all
     */
    public OwnerConnector(
            Links links,
            Timers timers,
            DecisionLog log,
            NodeMessage hello,
            OwnerListener listener,
            Consumer<Consumer<List<String>>> refresh) {
        mLinks = links;
        mTimers = timers;
        mLog = log;
        mHello = hello;
        mListener = listener;
        mRefresh = refresh;
    }

    /** Begins to connect. */
    public void start() {
        mStopped = false;
        mAttempt++;
        search();
    }

    /** Closes the link and does not connect again until started again. */
    public void stop() {
        mStopped = true;
        if (mOwner != null) {
            mOwner.close("stopping");
        }
    }

    /**
     * Sends a message to the connected owner, if there is one.
     *
     * @param message the message
     */
    public void send(NodeMessage message) {
        if (mOwner != null) {
            mOwner.send(message);
        }
    }

    /**
     * Takes news of the owner's address.
     *
     * @param address HOST:PORT
     */
    public void hint(String address) {
        if (!address.isEmpty() && !address.equals(mHint)) {
            mHint = address;
            mLostAt = "";
            mNext = 0;
            if (mOwner != null) {
                mOwner.close("the owner has changed");
            } else {
                mAttempt++;
                search();
            }
        }
    }

    private void search() {
        if (mStopped || mOwner != null) {
            return;
        }
        mRefresh.accept(
                entries -> {
                    if (!entries.isEmpty()) {
                        mEntries = entries;
                    }
                });
        attempt();
    }

    private void attempt() {
        List<String> candidates = new ArrayList<>();
        if (!mHint.isEmpty()) {
            candidates.add(mHint);
        }
        candidates.addAll(mEntries);
        candidates.sort(Comparator.comparing(mLostAt::equals));
        int attempt = ++mAttempt;
        if (candidates.isEmpty()) {
            retry(attempt);
            return;
        }
        String address = candidates.get(mNext++ % candidates.size());
        mTimers.after(ANSWER, () -> retryNow(attempt));
        mLinks.connect(
                address, link -> new Opening(link, address, attempt), cause -> retry(attempt));
    }

    private void retry(int attempt) {
        mTimers.after(RETRY, () -> retryNow(attempt));
    }

    private void retryNow(int attempt) {
        if (attempt == mAttempt && mOwner == null) {
            mAttempt++;
            search();
        }
    }

    /**
     * Link whose other side may be the owner. A new owner that still loads redirects nowhere; it is
     * asked again before the others, of which one is the lost owner and would cost a time limit.
     */
    private final class Opening implements LinkListener {
        private final Link mLink;
        private final String mAddress;
        private final int mNumber;

        Opening(Link link, String address, int number) {
            mLink = link;
            mAddress = address;
            mNumber = number;
            link.send(mHello);
            mTimers.after(ANSWER, this::giveUp);
        }

        @Override
        public void received(NodeMessage message) {
            if (mOwner == mLink) {
                mListener.received(message);
                return;
            }
            switch (message) {
                case NodeMessage.Welcome welcome -> welcomed(welcome.term());
                case NodeMessage.Redirect redirect -> redirected(redirect.owner());
                default -> mLink.close("unexpected first message");
            }
        }

        @Override
        public void closed(String reason) {
            if (mOwner == mLink) {
                mOwner = null;
                mLostAt = mAddress;
                mNext = 0;
                mLog.record("owner.lost", mAddress, "cause", reason);
                mListener.disconnected();
                mTimers.after(Duration.ZERO, OwnerConnector.this::search);
            } else {
                retry(mNumber);
            }
        }

        private void welcomed(long term) {
            if (mOwner != null || mStopped || !mListener.acceptable(term)) {
                mLink.close("not needed, term " + term);
                return;
            }
            mOwner = mLink;
            mHint = mAddress;
            mLostAt = "";
            mNext = 0;
            mLog.record("owner.connected", mAddress, "term", term);
            mListener.connected(mLink, term);
        }

        private void redirected(String owner) {
            boolean known = !owner.isEmpty() && !owner.equals(mLostAt);
            if (known && !owner.equals(mAddress)) {
                mHint = owner;
            }
            if (known || mAddress.equals(mHint)) {
                mNext = 0;
            }
            mLink.close("not the owner");
        }

        private void giveUp() {
            if (mOwner != mLink) {
                mLink.close("no answer to the first message");
            }
        }
    }
}
