package org.knapweedbank.config;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.knapweedbank.store.KeyEntry;
import org.knapweedbank.time.ManualClock;

/** Compares the results of random changes and faults with a reference model. */
class GenerationSequenceTest {
    /** Action of an operator or event in the environment. */
    enum StepKind {
        APPLY,
        APPLY_STALE,
        TAKE_OUT_OF_SERVICE,
        RETURN_TO_SERVICE,
        DELIVER_DELAYED_REQUESTS,
        PUBLISH_HEAD,
        PUBLISH_OLD_HEAD,
        RESTART_SOURCE
    }

    /** One step of a sequence; the fault affects the first {@code faultCount} transactions. */
    record Step(StepKind kind, int value, FakeStore.Fault fault, int faultCount) {}

    /** Content of a generation in the reference model. */
    record Content(int weight, Set<String> removed) {}

    @Provide
    Arbitrary<List<Step>> steps() {
        Arbitrary<Step> step =
                Combinators.combine(
                                Arbitraries.of(StepKind.class),
                                Arbitraries.integers().between(1, 4),
                                Arbitraries.of(FakeStore.Fault.class),
                                Arbitraries.integers().between(0, 3))
                        .as(Step::new);
        return step.list().ofMinSize(1).ofMaxSize(40);
    }

    /**
     * Guards against lost, duplicated or reverted generations: every result has to agree with the
     * model, and the source has to provide only accepted contents, in ascending order.
     */
    @Property(tries = 500, seed = "4711")
    void agreesWithReferenceModel(@ForAll("steps") List<Step> steps) {
        ModelRun run = new ModelRun();
        steps.forEach(run::execute);
        run.finish();
    }

    private static final class ModelRun {
        private final FakeStore mKeyValueStore = new FakeStore();
        private final ConfigurationStore mConfigurationStore =
                new ConfigurationStore(mKeyValueStore, new ManualClock(), "entry-1/1");
        private final List<Content> mAcceptedContents = new ArrayList<>();
        private final List<DelayedChange> mDelayedChanges = new ArrayList<>();
        private final List<KeyEntry> mPublishedHeads = new ArrayList<>();
        private FakeView mView = new FakeView();
        private StoreConfigurationSource mSource = startSource();

        /** A change whose request is delayed, with the generation that it is based on. */
        private record DelayedChange(int base, Content content) {}

        private StoreConfigurationSource startSource() {
            StoreConfigurationSource source = new StoreConfigurationSource(mView, mKeyValueStore);
            long[] lastGeneration = {0};
            source.subscribe(
                    configuration -> {
                        assertThat(configuration.generation()).isGreaterThan(lastGeneration[0]);
                        lastGeneration[0] = configuration.generation();
                        checkContent(configuration);
                    });
            source.start();
            return source;
        }

        void execute(Step step) {
            switch (step.kind()) {
                case APPLY -> apply(step, mAcceptedContents.size());
                case APPLY_STALE -> apply(step, mAcceptedContents.size() + 1);
                case TAKE_OUT_OF_SERVICE -> setRemoved(step, true);
                case RETURN_TO_SERVICE -> setRemoved(step, false);
                case DELIVER_DELAYED_REQUESTS -> {
                    mKeyValueStore.deliverDelayed();
                    mDelayedChanges.forEach(this::applyDelayed);
                    mDelayedChanges.clear();
                }
                case PUBLISH_HEAD -> publishHead();
                case PUBLISH_OLD_HEAD -> {
                    if (!mPublishedHeads.isEmpty()) {
                        mView.setHead(
                                mPublishedHeads.get(step.value() % mPublishedHeads.size()), 0);
                    }
                }
                case RESTART_SOURCE -> {
                    mView = new FakeView();
                    mSource = startSource();
                }
            }
        }

        void finish() {
            if (!mAcceptedContents.isEmpty()) {
                publishHead();
                assertThat(mSource.current().orElseThrow().generation())
                        .isEqualTo(mAcceptedContents.size());
            }
        }

        private void publishHead() {
            KeyEntry head = mKeyValueStore.entry(ConfigurationKeys.HEAD);
            if (head != null) {
                mPublishedHeads.add(head);
                mView.setHead(head, 0);
            }
        }

        private void apply(Step step, long expectedGeneration) {
            Content previous = current();
            Content requested = new Content(step.value(), previous.removed());
            ApplyResult result =
                    withFaults(
                            step,
                            () ->
                                    mConfigurationStore
                                            .apply(
                                                    Documents.requestExpecting(
                                                            expectedGeneration, "ana"),
                                                    Documents.withWeight(step.value()))
                                            .await()
                                            .indefinitely());
            if (expectedGeneration != mAcceptedContents.size()) {
                assertThat(result).isInstanceOf(ApplyResult.Conflict.class);
            } else {
                checkResult(step, result, previous, requested);
            }
        }

        private void setRemoved(Step step, boolean remove) {
            Content previous = current();
            String name = step.value() % 2 == 0 ? "a" : "b";
            Set<String> removed = new TreeSet<>(previous.removed());
            boolean changesState = remove ? removed.add(name) : removed.remove(name);
            ApplyResult result =
                    withFaults(
                            step,
                            () ->
                                    mConfigurationStore
                                            .setOutOfService(
                                                    Documents.requestBy("ana"), name, remove)
                                            .await()
                                            .indefinitely());
            if (mAcceptedContents.isEmpty() || changesState && removed.size() == 2) {
                assertThat(result).isInstanceOf(ApplyResult.Rejected.class);
            } else {
                checkResult(step, result, previous, new Content(previous.weight(), removed));
            }
        }

        private ApplyResult withFaults(Step step, Supplier<ApplyResult> change) {
            FakeStore.Fault[] faults = new FakeStore.Fault[step.faultCount()];
            Arrays.fill(faults, step.fault());
            mKeyValueStore.failNextTransactions(faults);
            ApplyResult result = change.get();
            mKeyValueStore.clearFaults();
            return result;
        }

        private void checkResult(
                Step step, ApplyResult result, Content previous, Content requested) {
            int base = mAcceptedContents.size();
            if (!mAcceptedContents.isEmpty() && requested.equals(previous)) {
                assertThat(result).isEqualTo(new ApplyResult.Applied(base, false, List.of()));
                return;
            }
            boolean hasFault = step.faultCount() > 0 && step.fault() != FakeStore.Fault.NONE;
            if (hasFault && step.fault() == FakeStore.Fault.DOWN) {
                assertThat(result).isInstanceOf(ApplyResult.Unavailable.class);
                return;
            }
            if (hasFault && step.fault() == FakeStore.Fault.REQUEST_DELAYED) {
                mDelayedChanges.add(new DelayedChange(base, requested));
            }
            if (hasFault && step.faultCount() == 3) {
                assertThat(result).isInstanceOf(ApplyResult.Unknown.class);
                if (step.fault() == FakeStore.Fault.ANSWER_LOST) {
                    mAcceptedContents.add(requested);
                }
                return;
            }
            mAcceptedContents.add(requested);
            assertThat(result)
                    .isEqualTo(new ApplyResult.Applied(mAcceptedContents.size(), true, List.of()));
        }

        private void applyDelayed(DelayedChange delayed) {
            if (delayed.base() == mAcceptedContents.size()) {
                mAcceptedContents.add(delayed.content());
            }
        }

        private Content current() {
            return mAcceptedContents.isEmpty()
                    ? new Content(0, Set.of())
                    : mAcceptedContents.getLast();
        }

        private void checkContent(SiteConfiguration configuration) {
            Content content = mAcceptedContents.get((int) configuration.generation() - 1);
            assertThat(configuration.teams().getFirst().weight())
                    .isEqualTo((double) content.weight());
            Set<String> removed =
                    configuration.dataCentresOutOfService().stream()
                            .map(id -> id.value())
                            .collect(Collectors.toSet());
            assertThat(removed).isEqualTo(content.removed());
        }
    }
}
