/** Root package of the masticfold-cli module. */
package io.masticfold.cli;
