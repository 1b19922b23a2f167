package org.knapweedbank.soak;

import static com.google.common.truth.Truth.assertThat;

import java.nio.file.Path;
import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Guards against stand-ins that the processes can't work with: without faults, every job is
 * accepted and completed and no task starts twice. Seeds with faults depend on the speed of the
 * machine and are played by {@code bin/soak}.
 */
final class SoakRunTest {
    private static final long SEED = 1;

    @Test
    void calmRunKeepsAllPromises(@TempDir Path folder) throws Exception {
        SoakRun run =
                new SoakRun(
                        folder,
                        RoleCommands.fromClassPath(),
                        new DeploymentSize(1, 2),
                        FaultPlan.Kind.CALM,
                        Duration.ofSeconds(3));
        SoakResult result = run.play(SEED);
        assertThat(result.starts()).isGreaterThan(0);
        assertThat(result.violations()).isEmpty();
    }
}
