/** Root package of the masticfold-agent module. */
package io.masticfold.agent;
