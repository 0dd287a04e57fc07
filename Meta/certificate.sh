#!/usr/bin/env bash
# Creates a self-signed certificate for tests: certificate.sh FOLDER [ADDRESS]
set -euo pipefail
folder=$1
address=${2:-127.0.0.1}
mkdir -p "$folder"
openssl req -x509 -newkey rsa:2048 -nodes -days 30 -subj "/CN=sardinefold" \
  -addext "subjectAltName=IP:$address" -keyout "$folder/key.pem" -out "$folder/certificate.pem" 2>/dev/null
