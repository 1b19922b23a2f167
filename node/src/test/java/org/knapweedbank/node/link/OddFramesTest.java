package org.knapweedbank.node.link;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.util.List;
import java.util.Optional;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.knapweedbank.jobs.AgentReport;
import org.knapweedbank.jobs.RunStatus;
import org.knapweedbank.jobs.TaskName;

/** Tests the codec of the messages between processes with damaged frames. */
class OddFramesTest {
    private static final int TRIES = 5_000;
    private static final String SEED = "20261205";

    /** Guards against bytes of another program that cause another error than a refusal. */
    @Property(tries = TRIES, seed = SEED)
    void otherBytesAreRefused(@ForAll byte[] bytes) {
        decodeOrRefuse(bytes);
    }

    /** Guards against a frame with one damaged byte, such as a length, that exhausts the memory. */
    @Property(tries = TRIES, seed = SEED)
    void damagedReportIsDecodedOrRefused(
            @ForAll @IntRange(max = 200) int position, @ForAll byte value) {
        RunStatus run = new RunStatus(TaskName.parse("5c0e7a21d94b36f8.0.1.17"), 3, "ck", 41, 120);
        AgentReport report =
                new AgentReport(Optional.empty(), true, List.of(run), List.of(run, run), List.of());
        byte[] frame = NodeCodec.encode(new NodeMessage.Report(1, report));
        frame[position % frame.length] = value;
        decodeOrRefuse(frame);
    }

    private static void decodeOrRefuse(byte[] frame) {
        try {
            assertThat(NodeCodec.decode(frame)).isNotNull();
        } catch (IOException e) {
            assertThat(e).hasMessageThat().isNotEmpty();
        }
    }
}
