/** Root package of the masticfold-wire module. */
package io.masticfold.wire;
