package io.masticfold.core.order;

import io.masticfold.core.config.ConfigObject;
import io.masticfold.core.config.ConfigSnapshot;
import io.masticfold.core.config.ObjectKey;
import io.masticfold.core.model.DesiredModel;
import io.masticfold.core.model.Model;
import io.masticfold.core.model.ObjectKind;
import io.masticfold.core.model.Target;
import java.util.Optional;

/**
 * Desired state of an engine according to the configuration.
 *
 * @param model model that the engine should serve
 * @param version version of the target object that specifies the desired model
 * @param weightBytes size of the model's weights, in bytes
 */
public record DesiredState(DesiredModel model, long version, long weightBytes) {

    /**
     * Reads the desired state of a target from the configuration.
     *
     * @return the desired state; empty if the target has none, or if its model is not in the configuration yet
     */
    public static Optional<DesiredState> of(ConfigSnapshot snapshot, String target) {
        return snapshot.object(new ObjectKey(ObjectKind.TARGET, target)).flatMap(object -> of(snapshot, object));
    }

    private static Optional<DesiredState> of(ConfigSnapshot snapshot, ConfigObject object) {
        if (!(object.spec() instanceof Target target) || target.desired() == null) {
            return Optional.empty();
        }
        DesiredModel desired = target.desired();
        return snapshot.object(new ObjectKey(ObjectKind.MODEL, desired.model()))
                .map(ConfigObject::spec)
                .map(Model.class::cast)
                .map(model -> new DesiredState(desired, object.version(), model.weightBytes()));
    }
}
