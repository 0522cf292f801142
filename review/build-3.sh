#!/bin/sh
# Builds the stand-ins and the drivers of the cases 11 to 15. Needs the JDK only.
set -e
cd "$(dirname "$0")/harness-3"
mkdir -p target/classes
javac -nowarn -d target/classes src/*.java
