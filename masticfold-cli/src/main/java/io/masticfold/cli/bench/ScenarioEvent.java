package io.masticfold.cli.bench;

import io.masticfold.cli.dev.LocalDeployment;
import java.util.function.Consumer;

/**
 * Describes something that happens during a scenario.
 *
 * @param atSeconds time after the start of the schedule, in seconds
 * @param action what happens
 */
record ScenarioEvent(double atSeconds, Consumer<LocalDeployment> action) {}
