/** Root package of the masticfold-testkit module. */
package io.masticfold.testkit;
