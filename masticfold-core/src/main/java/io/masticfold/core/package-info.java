/** Root package of the masticfold-core module. */
package io.masticfold.core;
