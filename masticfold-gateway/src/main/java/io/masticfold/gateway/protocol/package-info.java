/** What a platform's adapter supplies: names, formats and calls, as project types. */
@NullMarked
package io.masticfold.gateway.protocol;

import org.jspecify.annotations.NullMarked;
