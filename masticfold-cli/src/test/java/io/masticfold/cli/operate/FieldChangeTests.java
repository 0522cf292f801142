package io.masticfold.cli.operate;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.masticfold.cli.client.FakeObjectAccess;
import io.masticfold.core.config.ObjectKey;
import io.masticfold.core.model.ObjectKind;
import io.masticfold.core.model.Zone;
import io.masticfold.core.model.ZoneState;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class FieldChangeTests {

    private static final ObjectKey KEY = new ObjectKey(ObjectKind.ZONE, "a");
    private static final String IN = "{\"region\":\"r\",\"state\":\"in\"}";

    private final ByteArrayOutputStream output = new ByteArrayOutputStream();
    private final PrintStream out = new PrintStream(output, true, StandardCharsets.UTF_8);
    private final FakeObjectAccess objects = new FakeObjectAccess();
    private final FieldChange<Zone> change =
            new FieldChange<>(Zone.class, Zone::state, zone -> zone.withState(ZoneState.OUT));

    @BeforeEach
    void createZone() {
        objects.writeAsOther(IN);
    }

    /** Guards against losing the change of another operator to another field. */
    @Test
    void mergesWithAChangeOfAnotherField() throws Exception {
        objects.next(FakeObjectAccess.Fault.OVERTAKEN);
        objects.overtakeWith(IN.replace("\"r\"", "\"renamed\""));

        assertThat(change.apply(objects, KEY, out)).isEqualTo(3);
        assertThat(objects.current().spec()).isEqualTo("{\"region\":\"renamed\",\"state\":\"out\"}");
    }

    /** Guards against overriding an operator who decided otherwise about the same field at the same time. */
    @Test
    void losesToAChangeOfTheSameField() {
        objects.next(FakeObjectAccess.Fault.OVERTAKEN);
        objects.overtakeWith(IN.replace("in", "out"));

        assertThatThrownBy(() -> change.apply(objects, KEY, out))
                .hasMessage("zone/a not changed: change other of version 2 set it to out");
        assertThat(objects.current().version()).isEqualTo(2);
    }

    @Test
    void changesNothingIfTheStateIsAsWanted() throws Exception {
        change.apply(objects, KEY, out);

        assertThat(change.apply(objects, KEY, out)).isEqualTo(2);
        assertThat(objects.current().version()).isEqualTo(2);
        assertThat(output.toString(StandardCharsets.UTF_8)).contains("zone/a unchanged, out since version 2");
    }
}
