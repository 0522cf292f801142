/** Root package of the masticfold-platform module. */
package io.masticfold.platform;
