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

/** Compares sequences of changes and faults with a reference model of the generation. */
class GenerationSequenceTest {
    /** What an operator or the environment does. */
    enum Kind {
        APPLY,
        APPLY_STALE,
        OUT,
        IN,
        DELIVER_DELAYED,
        SHOW_HEAD,
        SHOW_OLD_HEAD,
        RESTART_SOURCE
    }

    /** One step; the fault befalls the first transactions of a change. */
    record Step(Kind kind, int value, FakeStore.Fault fault, int repeats) {}

    /** Reference: content of a generation. */
    record Content(int weight, Set<String> removed) {}

    @Provide
    Arbitrary<List<Step>> steps() {
        Arbitrary<Step> step =
                Combinators.combine(
                                Arbitraries.of(Kind.class),
                                Arbitraries.integers().between(1, 4),
                                Arbitraries.of(FakeStore.Fault.class),
                                Arbitraries.integers().between(0, 3))
                        .as(Step::new);
        return step.list().ofMinSize(1).ofMaxSize(40);
    }

    /**
     * Guards against lost, repeated or reverted generations: every answer agrees with the model,
     * and the source shows only accepted contents in ascending order.
     */
    @Property(tries = 500, seed = "4711")
    void agreesWithReferenceModel(@ForAll("steps") List<Step> steps) {
        Run run = new Run();
        steps.forEach(run::step);
        run.finish();
    }

    private static final class Run {
        private final FakeStore mFake = new FakeStore();
        private final ConfigurationStore mStore =
                new ConfigurationStore(mFake, new ManualClock(), "entry-1/1");
        private final List<Content> mAccepted = new ArrayList<>();
        private final List<Delayed> mDelayed = new ArrayList<>();
        private final List<KeyEntry> mHeads = new ArrayList<>();
        private FakeView mView = new FakeView();
        private StoreConfigurationSource mSource = source();

        /** A change that is still on its way, with the generation that it was based on. */
        private record Delayed(int base, Content content) {}

        private StoreConfigurationSource source() {
            StoreConfigurationSource source = new StoreConfigurationSource(mView, mFake);
            long[] last = {0};
            source.subscribe(
                    configuration -> {
                        assertThat(configuration.generation()).isGreaterThan(last[0]);
                        last[0] = configuration.generation();
                        checkContent(configuration);
                    });
            source.start();
            return source;
        }

        void step(Step step) {
            switch (step.kind()) {
                case APPLY -> apply(step, mAccepted.size());
                case APPLY_STALE -> apply(step, mAccepted.size() + 1);
                case OUT -> setRemoved(step, true);
                case IN -> setRemoved(step, false);
                case DELIVER_DELAYED -> {
                    mFake.deliverDelayed();
                    mDelayed.forEach(this::land);
                    mDelayed.clear();
                }
                case SHOW_HEAD -> showHead();
                case SHOW_OLD_HEAD -> {
                    if (!mHeads.isEmpty()) {
                        mView.show(mHeads.get(step.value() % mHeads.size()), 0);
                    }
                }
                case RESTART_SOURCE -> {
                    mView = new FakeView();
                    mSource = source();
                }
            }
        }

        void finish() {
            if (!mAccepted.isEmpty()) {
                showHead();
                assertThat(mSource.current().orElseThrow().generation())
                        .isEqualTo(mAccepted.size());
            }
        }

        private void showHead() {
            KeyEntry head = mFake.entry(ConfigurationKeys.HEAD);
            if (head != null) {
                mHeads.add(head);
                mView.show(head, 0);
            }
        }

        private void apply(Step step, long expect) {
            Content before = current();
            Content wanted = new Content(step.value(), before.removed());
            ApplyResult result =
                    withFaults(
                            step,
                            () ->
                                    mStore.apply(
                                                    Documents.expecting(expect, "ana"),
                                                    Documents.withWeight(step.value()))
                                            .await()
                                            .indefinitely());
            if (expect != mAccepted.size()) {
                assertThat(result).isInstanceOf(ApplyResult.Conflict.class);
            } else {
                check(step, result, before, wanted);
            }
        }

        private void setRemoved(Step step, boolean out) {
            Content before = current();
            String name = step.value() % 2 == 0 ? "a" : "b";
            Set<String> removed = new TreeSet<>(before.removed());
            boolean changes = out ? removed.add(name) : removed.remove(name);
            ApplyResult result =
                    withFaults(
                            step,
                            () ->
                                    mStore.setRemoved(Documents.by("ana"), name, out)
                                            .await()
                                            .indefinitely());
            if (mAccepted.isEmpty() || changes && removed.size() == 2) {
                assertThat(result).isInstanceOf(ApplyResult.Rejected.class);
            } else {
                check(step, result, before, new Content(before.weight(), removed));
            }
        }

        private ApplyResult withFaults(Step step, Supplier<ApplyResult> change) {
            FakeStore.Fault[] faults = new FakeStore.Fault[step.repeats()];
            Arrays.fill(faults, step.fault());
            mFake.fail(faults);
            ApplyResult result = change.get();
            mFake.clearFaults();
            return result;
        }

        private void check(Step step, ApplyResult result, Content before, Content wanted) {
            int base = mAccepted.size();
            if (!mAccepted.isEmpty() && wanted.equals(before)) {
                assertThat(result).isEqualTo(new ApplyResult.Applied(base, false, List.of()));
                return;
            }
            boolean faulty = step.repeats() > 0 && step.fault() != FakeStore.Fault.NONE;
            if (faulty && step.fault() == FakeStore.Fault.DOWN) {
                assertThat(result).isInstanceOf(ApplyResult.Unavailable.class);
                return;
            }
            if (faulty && step.fault() == FakeStore.Fault.REQUEST_DELAYED) {
                mDelayed.add(new Delayed(base, wanted));
            }
            if (faulty && step.repeats() == 3) {
                assertThat(result).isInstanceOf(ApplyResult.Unknown.class);
                if (step.fault() == FakeStore.Fault.ANSWER_LOST) {
                    mAccepted.add(wanted);
                }
                return;
            }
            mAccepted.add(wanted);
            assertThat(result)
                    .isEqualTo(new ApplyResult.Applied(mAccepted.size(), true, List.of()));
        }

        private void land(Delayed delayed) {
            if (delayed.base() == mAccepted.size()) {
                mAccepted.add(delayed.content());
            }
        }

        private Content current() {
            return mAccepted.isEmpty() ? new Content(0, Set.of()) : mAccepted.getLast();
        }

        private void checkContent(SiteConfiguration configuration) {
            Content content = mAccepted.get((int) configuration.generation() - 1);
            assertThat(configuration.teams().getFirst().weight())
                    .isEqualTo((double) content.weight());
            Set<String> removed =
                    configuration.removed().stream()
                            .map(id -> id.value())
                            .collect(Collectors.toSet());
            assertThat(removed).isEqualTo(content.removed());
        }
    }
}
