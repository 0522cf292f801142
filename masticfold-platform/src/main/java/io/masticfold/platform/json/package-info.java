/** JSON settings and configuration objects: parsing with located problems, encoding and whole-set checks. */
@NullMarked
package io.masticfold.platform.json;

import org.jspecify.annotations.NullMarked;
