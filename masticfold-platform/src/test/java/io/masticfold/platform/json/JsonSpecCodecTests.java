package io.masticfold.platform.json;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.masticfold.core.model.ConfigSpec;
import io.masticfold.core.model.Contract;
import io.masticfold.core.model.DesiredModel;
import io.masticfold.core.model.Model;
import io.masticfold.core.model.ObjectKind;
import io.masticfold.core.model.Pipeline;
import io.masticfold.core.model.Stage;
import io.masticfold.core.model.Target;
import io.masticfold.core.model.TargetKind;
import io.masticfold.core.model.TargetState;
import io.masticfold.core.model.Zone;
import io.masticfold.core.model.ZoneState;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;

class JsonSpecCodecTests {

    private static final String DIGEST = "a".repeat(64);

    private final JsonSpecCodec codec = new JsonSpecCodec();

    static Stream<ConfigSpec> specs() {
        return Stream.of(
                new Contract("buyers", "lemeki", DIGEST, 800, 2.5, 7, 120.0, 30, 64, List.of("search", "pay")),
                new Pipeline(
                        "search",
                        List.of(
                                new Stage("encode", "encoders", true, 5, 1.0, false),
                                new Stage("generate", "engines", true, 50, 4.0, true)),
                        65_536),
                new Zone("viti-a", "viti-levu", ZoneState.OUT),
                new Target(
                        "engine-1",
                        "viti-a",
                        "engines",
                        TargetKind.ENGINE,
                        "127.0.0.1:7101",
                        "127.0.0.1:7201",
                        TargetState.LEAVING,
                        16,
                        2,
                        32,
                        true,
                        false,
                        new DesiredModel("base", "", "3", "both")),
                new Model("base", "3", 7_000_000_000L));
    }

    /** Guards against a field whose name differs between encoding and decoding. */
    @ParameterizedTest
    @MethodSource("specs")
    void decodesWhatItEncodes(ConfigSpec spec) throws Exception {
        assertThat(codec.decode(spec.kind(), spec.name(), codec.encode(spec))).isEqualTo(spec);
    }

    /** Guards against messages without the location, the value or the accepted values. */
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            textBlock =
                    """
            {"region":"viti-levu","sate":"in"}          | zone/a:1: $.sate: unknown key; accepted: region, state
            {"region":"viti-levu","state":"off"}        | $.state: accepted: one of in, out, found "off"
            {"region":"viti-levu","state":"IN"}         | $.state: accepted: one of in, out, found "IN"
            {"state":"in"}                              | $.region: missing key; accepted: a text
            {"region":7,"state":"in"}                   | $.region: accepted: a text, found 7
            {"region":"Viti","state":"in"}              | $.region: region name must be 1 to 63 of a-z
            {"region":"viti-levu","region":"other"}     | Duplicate
            {"region":"viti-levu"} {}                   | not valid JSON
            {"region":"viti-levu"                       | not valid JSON
            []                                          | zone/a:1: $: accepted: an object, found []
            """)
    void explainsFaults(String json, String expected) {
        assertThatThrownBy(() -> codec.decode(ObjectKind.ZONE, "a", json))
                .isInstanceOf(JsonProblemException.class)
                .hasMessageContaining(expected);
    }

    /** Guards against reporting a key with a wrong unit without suggesting the known key. */
    @ParameterizedTest
    @CsvSource({"windowSeconds,windowMillis", "windowms,windowMillis", "WindowMillis,windowMillis"})
    void namesTheKeyMeantOnUnitMistakes(String wrong, String right) {
        String json = codec.encode(specs().findFirst().orElseThrow()).replace("windowMillis", wrong);

        assertThatThrownBy(() -> codec.decode(ObjectKind.CONTRACT, "buyers", json))
                .hasMessageContaining("$." + wrong + ": unknown key, use " + right);
    }
}
