/** Common root of the packages of the masticfold-core module. */
package io.masticfold.core;
