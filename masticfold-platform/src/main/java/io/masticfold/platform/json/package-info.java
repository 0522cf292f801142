/** JSON codecs for settings and configuration objects: parsing with located problems, encoding and validation. */
@NullMarked
package io.masticfold.platform.json;

import org.jspecify.annotations.NullMarked;
