package org.knapweedbank.tools;

import static com.google.common.truth.Truth.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.knapweedbank.config.ConfigurationParser;

class DocumentDiffTest {
    /**
     * Guards against reporting equal numbers as different: files and responses are read by two
     * parsers whose nodes for the same number have different types.
     */
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "{\"n\": 1}|{\"n\": 1}|0",
                "{\"n\": 1.5}|{\"n\": 1.5}|0",
                "{\"n\": 2.0}|{\"n\": 2}|0",
                "{\"n\": [1, \"a\"]}|{\"n\": [1, \"a\"]}|0",
                "{\"n\": 1}|{\"n\": 2}|1",
                "{\"n\": [1]}|{\"n\": [2]}|1",
                "{\"n\": 1}|{\"n\": \"1\"}|1",
                "{\"n\": 1}|{}|1"
            })
    void comparesNumbersByValue(String response, String file, int differences) throws IOException {
        JsonNode before = new ObjectMapper().readTree(response);
        JsonNode after =
                new ConfigurationParser()
                        .parseBase("file", file.getBytes(StandardCharsets.UTF_8))
                        .tree();
        assertThat(DocumentDiff.compare(before, after)).hasSize(differences);
    }
}
