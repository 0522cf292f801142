#!/bin/bash
# Builds the stand-ins and the clients of the scripts under review/6 to review/10. Needs a JDK only.
set -eu
cd "$(dirname "$0")/harness-2"
rm -rf target/classes
mkdir -p target/classes
javac -nowarn -d target/classes src/*.java
