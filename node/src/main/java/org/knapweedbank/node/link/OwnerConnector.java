package org.knapweedbank.node.link;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.Consumer;
import org.knapweedbank.jobs.DecisionLog;
import org.knapweedbank.node.Timers;

/**
 * Maintains a link to the owner. It first tries the address at which the owner was last known, then
 * the other known entries, which redirect it to the owner. The list of entries is refreshed while
 * there is no owner.
 */
public final class OwnerConnector {
    private static final Duration RETRY_DELAY = Duration.ofMillis(100);

    /** Time within which the peer has to answer the first message. */
    private static final Duration ANSWER_TIMEOUT = Duration.ofMillis(1_000);

    private final LinkTransport mTransport;
    private final Timers mTimers;
    private final DecisionLog mLog;
    private final NodeMessage mHello;
    private final OwnerListener mListener;
    private final Consumer<Consumer<List<String>>> mEntryLookup;
    private List<String> mEntryAddresses = List.of();
    private String mOwnerAddress = "";

    /** Address at which the link to the owner was lost; it is tried after all others. */
    private String mLostOwnerAddress = "";

    /** Position of the next address to try among the candidates. */
    private int mNextCandidate;

    private Link mOwner;
    private boolean mOwnerTakesRegistrations;

    /** Number of the current attempt; the timers of earlier attempts have no effect. */
    private int mAttemptNumber;

    private boolean mStopped;

    /**
     * Creates the connector; {@link #start} begins to connect.
     *
     * @param transport opens links
     * @param timers timers of the process
     * @param log receives the connections to the owner and their losses
     * @param hello first message on each link
     * @param listener receives the owner's messages
     * @param entryLookup looks up the addresses of the entries, the owner's first if known; it may
     *     answer later or not at all
     */
    public OwnerConnector(
            LinkTransport transport,
            Timers timers,
            DecisionLog log,
            NodeMessage hello,
            OwnerListener listener,
            Consumer<Consumer<List<String>>> entryLookup) {
        mTransport = transport;
        mTimers = timers;
        mLog = log;
        mHello = hello;
        mListener = listener;
        mEntryLookup = entryLookup;
    }

    /** Starts to connect, and reconnects after each loss. */
    public void start() {
        mStopped = false;
        mAttemptNumber++;
        searchOwner();
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
     * Returns whether the connected owner knows the message {@link NodeMessage.Registration}.
     *
     * @return false for an owner of an earlier version
     */
    public boolean ownerTakesRegistrations() {
        return mOwnerTakesRegistrations;
    }

    /**
     * Sets the address of the owner and reconnects if it has changed.
     *
     * @param address HOST:PORT
     */
    public void setOwnerAddress(String address) {
        if (!address.isEmpty() && !address.equals(mOwnerAddress)) {
            mOwnerAddress = address;
            mLostOwnerAddress = "";
            mNextCandidate = 0;
            if (mOwner != null) {
                mOwner.close("the owner's address has changed");
            } else {
                mAttemptNumber++;
                searchOwner();
            }
        }
    }

    private void searchOwner() {
        if (mStopped || mOwner != null) {
            return;
        }
        mEntryLookup.accept(
                addresses -> {
                    if (!addresses.isEmpty()) {
                        mEntryAddresses = addresses;
                    }
                });
        connectToNext();
    }

    /** Connects to the next candidate address; the address of a lost owner is last. */
    private void connectToNext() {
        List<String> candidates = new ArrayList<>();
        if (!mOwnerAddress.isEmpty()) {
            candidates.add(mOwnerAddress);
        }
        candidates.addAll(mEntryAddresses);
        candidates.sort(Comparator.comparing(mLostOwnerAddress::equals));
        int attempt = ++mAttemptNumber;
        if (candidates.isEmpty()) {
            scheduleRetry(attempt);
            return;
        }
        String address = candidates.get(mNextCandidate++ % candidates.size());
        mTimers.after(ANSWER_TIMEOUT, () -> retryIfCurrent(attempt));
        mTransport.connect(
                address,
                link -> new CandidateLink(link, address, attempt),
                cause -> scheduleRetry(attempt));
    }

    private void scheduleRetry(int attempt) {
        mTimers.after(RETRY_DELAY, () -> retryIfCurrent(attempt));
    }

    private void retryIfCurrent(int attempt) {
        if (attempt == mAttemptNumber && mOwner == null) {
            mAttemptNumber++;
            searchOwner();
        }
    }

    /**
     * Link whose peer may be the owner. A new owner that is still loading its records answers with
     * an empty redirect. It is tried again before the other entries, because one of these is the
     * lost owner, on which the attempt would last until its timeout.
     */
    private final class CandidateLink implements LinkListener {
        private final Link mLink;
        private final String mAddress;
        private final int mOpenedInAttempt;

        CandidateLink(Link link, String address, int attempt) {
            mLink = link;
            mAddress = address;
            mOpenedInAttempt = attempt;
            link.send(mHello);
            mTimers.after(ANSWER_TIMEOUT, this::closeIfUnanswered);
        }

        @Override
        public void received(NodeMessage message) {
            if (mOwner == mLink) {
                mListener.received(message);
                return;
            }
            switch (message) {
                case NodeMessage.Welcome welcome -> handleWelcome(welcome);
                case NodeMessage.Redirect redirect -> handleRedirect(redirect.ownerAddress());
                default -> mLink.close("unexpected answer to the first message");
            }
        }

        @Override
        public void closed(String reason) {
            if (mOwner == mLink) {
                mOwner = null;
                mLostOwnerAddress = mAddress;
                mNextCandidate = 0;
                mLog.record("owner.lost", mAddress, "cause", reason);
                mListener.disconnected();
                mTimers.after(Duration.ZERO, OwnerConnector.this::searchOwner);
            } else {
                scheduleRetry(mOpenedInAttempt);
            }
        }

        private void handleWelcome(NodeMessage.Welcome welcome) {
            long term = welcome.term();
            if (mOwner != null || mStopped || !mListener.isAcceptable(term)) {
                mLink.close("connection not needed; the owner's term is " + term);
                return;
            }
            mOwner = mLink;
            mOwnerTakesRegistrations = welcome.takesRegistrations();
            mOwnerAddress = mAddress;
            mLostOwnerAddress = "";
            mNextCandidate = 0;
            mLog.record("owner.connected", mAddress, "term", term);
            mListener.connected(mLink, term);
        }

        private void handleRedirect(String ownerAddress) {
            boolean usable = !ownerAddress.isEmpty() && !ownerAddress.equals(mLostOwnerAddress);
            if (usable && !ownerAddress.equals(mAddress)) {
                mOwnerAddress = ownerAddress;
            }
            if (usable || mAddress.equals(mOwnerAddress)) {
                mNextCandidate = 0;
            }
            mLink.close("the peer is not the owner");
        }

        private void closeIfUnanswered() {
            if (mOwner != mLink) {
                mLink.close("no answer to the first message");
            }
        }
    }
}
