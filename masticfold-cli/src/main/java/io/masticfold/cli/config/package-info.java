/** Commands on objects and settings: check, apply and get. */
@NullMarked
package io.masticfold.cli.config;

import org.jspecify.annotations.NullMarked;
