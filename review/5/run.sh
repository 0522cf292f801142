#!/bin/sh
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.."
exec java -cp review/target/classes review.Case5 "$folder"
