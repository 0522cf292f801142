/** Root package of the masticfold-entry module. */
package io.masticfold.entry;
