package org.knapweedbank.node.link;

import static com.google.common.truth.Truth.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Function;
import org.junit.jupiter.api.Test;
import org.knapweedbank.jobs.DecisionLog;
import org.knapweedbank.model.DaemonId;
import org.knapweedbank.node.ManualTimers;
import org.knapweedbank.time.ManualClock;

/** Search for the owner among entries that are lost, loading or not the owner. */
class OwnerConnectorTest {
    private final ManualTimers mTimers = new ManualTimers(new ManualClock());
    private final Map<String, NodeMessage> mAnswers = new HashMap<>();
    private final List<String> mTried = new ArrayList<>();
    private final List<Long> mTerms = new ArrayList<>();
    private long mLeastTerm;
    private Link mOwner;

    /** Network in which an address without an answer takes connections for ever. */
    private final class Network implements Links {
        @Override
        public void connect(
                String address, Function<Link, LinkListener> listener, Consumer<String> failed) {
            mTried.add(address);
            if (!mAnswers.containsKey(address)) {
                return;
            }
            FakeLink link = new FakeLink();
            link.mListener = listener.apply(link);
            link.mListener.received(mAnswers.get(address));
        }

        @Override
        public void listen(String host, int port, Function<Link, LinkListener> listener) {}
    }

    private final class Listener implements OwnerListener {
        @Override
        public boolean acceptable(long term) {
            return term >= mLeastTerm;
        }

        @Override
        public void connected(Link owner, long term) {
            mOwner = owner;
            mTerms.add(term);
        }

        @Override
        public void received(NodeMessage message) {}

        @Override
        public void disconnected() {
            mOwner = null;
        }
    }

    private OwnerConnector connector(String... entries) {
        OwnerConnector connector =
                new OwnerConnector(
                        new Network(),
                        mTimers,
                        DecisionLog.NONE,
                        new NodeMessage.EntryHello(new DaemonId("e")),
                        new Listener(),
                        known -> known.accept(List.of(entries)));
        connector.start();
        return connector;
    }

    /** Guards against a search that ends at an entry that is not the owner. */
    @Test
    void redirectIsFollowed() {
        mAnswers.put("a:1", new NodeMessage.Redirect("b:1"));
        mAnswers.put("b:1", new NodeMessage.Welcome(3));
        connector("a:1");
        mTimers.pass(Duration.ofMillis(300));
        assertThat(mTerms).containsExactly(3L);
    }

    /** Guards against seconds lost at the former owner while the new one still loads. */
    @Test
    void loadingOwnerIsAskedAgainBeforeTheLostOne() {
        mAnswers.put("new:1", new NodeMessage.Redirect(""));
        OwnerConnector connector = connector("lost:1", "new:1");
        connector.hint("new:1");
        mTimers.pass(Duration.ofMillis(1_200));
        mTried.clear();
        mTimers.pass(Duration.ofMillis(500));
        assertThat(mTried).doesNotContain("lost:1");
        mAnswers.put("new:1", new NodeMessage.Welcome(2));
        mTimers.pass(Duration.ofMillis(150));
        assertThat(mTerms).containsExactly(2L);
    }

    /** Guards against obeying an owner that has been replaced. */
    @Test
    void ownerOfAnEarlierTermIsNotAccepted() {
        mLeastTerm = 5;
        mAnswers.put("a:1", new NodeMessage.Welcome(4));
        connector("a:1");
        mTimers.pass(Duration.ofSeconds(1));
        assertThat(mTerms).isEmpty();
    }

    /**
     * Guards against seconds lost at a dead owner: entries that have not learned of its loss still
     * redirect there, while another one has taken over.
     */
    @Test
    void lostOwnerIsTriedAfterAllOtherEntries() {
        mAnswers.put("old:1", new NodeMessage.Welcome(1));
        mAnswers.put("b:1", new NodeMessage.Redirect("old:1"));
        mAnswers.put("new:1", new NodeMessage.Welcome(2));
        connector("old:1", "b:1", "new:1");
        assertThat(mTerms).containsExactly(1L);
        mAnswers.remove("old:1");
        mTried.clear();
        mOwner.close("silent");
        mTimers.pass(Duration.ofMillis(400));
        assertThat(mTerms).containsExactly(1L, 2L).inOrder();
        assertThat(mTried).doesNotContain("old:1");
    }

    /** Guards against an agent that stays without an owner after its link is lost. */
    @Test
    void lostLinkIsOpenedAgain() {
        mAnswers.put("a:1", new NodeMessage.Welcome(1));
        connector("a:1");
        mOwner.close("reset");
        mTimers.pass(Duration.ofMillis(300));
        assertThat(mTerms).containsExactly(1L, 1L);
    }
}
